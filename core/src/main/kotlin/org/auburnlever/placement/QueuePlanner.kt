package org.auburnlever.placement

import org.auburnlever.configuration.Bundle
import org.auburnlever.ledger.GangPlacement
import org.auburnlever.ledger.GuaranteeId
import org.auburnlever.ledger.JobRecord
import org.auburnlever.ledger.LeaderState
import org.auburnlever.ledger.LedgerState
import org.auburnlever.ledger.ScheduleAction
import org.auburnlever.world.AccountName
import org.auburnlever.world.Shape

/** Bounds one log entry; the rest follows with the next call. */
private const val MAX_PLACEMENTS = 64

/** Bounds the time of one call: jobs that need a search for victims are rare in practice. */
private const val MAX_DISPLACEMENTS = 8

/** Bounds the time of one call: jobs that fit no usable workers get no reservation. */
private const val MAX_RESERVATION_ATTEMPTS = 4

/** Serves the queue of one state; used for one call of the scheduler. */
internal class QueuePlanner(
    private val state: LedgerState,
    private val bundle: Bundle,
    private val leader: LeaderState,
    private val nowMillis: Long,
) {
    private val weights = Weights(bundle.policy.completionTime, bundle.policy.fragmentation)
    private val free = FreeRoom(Room.free(state, weights, nowMillis))
    private val running = RunningJobs(state, free.room)
    private val displacer by lazy { Displacer(state, leader, running.all, nowMillis) }
    private val held = mutableMapOf<AccountName, Int>()
    private val notes = WaitNotes(state, nowMillis)
    private val actions = mutableListOf<ScheduleAction>()
    private var displacements = 0
    private var reservations = 0
    private var placements = 0

    fun plan(): List<ScheduleAction> {
        val queue = if (state.jobs.queued.isEmpty()) emptyList() else QueueOrder(state, bundle, nowMillis).jobs()
        queue.asSequence().takeWhile { placements < MAX_PLACEMENTS }.forEach { serve(it) }
        return actions + notes.actions
    }

    private fun serve(queued: QueuedJob) = when {
        queued.guarantee != null -> serveClaim(queued, queued.guarantee)
        isOverQuota(queued.job) -> notes.waitsForQuota(queued.job)
        queued.queueClass == QueueClass.URGENT -> serveUrgent(queued)
        else -> serveRoutine(queued)
    }

    /** The quota limits borrowed work only, since a guaranteed shape must be claimable at any time. */
    private fun isOverQuota(job: JobRecord): Boolean {
        val now = (state.accounts[job.account]?.heldAccelerators ?: 0) + (held[job.account] ?: 0)
        return now.toLong() + job.spec.shape.acceleratorCount > state.policy.quota(job.account)
    }

    private fun serveClaim(queued: QueuedJob, guarantee: GuaranteeId) {
        val shape = state.guarantees.entries.getValue(guarantee).shape
        val claimRoom = free.room.withoutGuarantees(state, guarantee, nowMillis)
        val placement = claimRoom.find(shape)
        if (placement != null) {
            place(queued, placement, "claim of guarantee ${guarantee.index}")
        } else {
            val displacement = displacer.find(claimRoom, shape) { true }
            if (displacement == null) notes.waitsForBlock(queued.job) else displace(queued.job, shape, displacement)
        }
    }

    private fun serveUrgent(queued: QueuedJob) {
        val job = queued.job
        val placement = free.find(job, queued.estimateMillis, nowMillis)
        if (placement != null) {
            place(queued, placement, "urgent, in free capacity")
        } else {
            val displacement = if (displacements < MAX_DISPLACEMENTS) displaceRoutine(job) else null
            if (displacement == null) blocked(queued) else displace(job, job.spec.shape, displacement)
        }
    }

    private fun displaceRoutine(job: JobRecord): Displacement? {
        displacements++
        return displacer.find(free.room, job.spec.shape) { !it.spec.urgent }
    }

    private fun serveRoutine(queued: QueuedJob) {
        val ahead = free.reservation
        val placement = free.find(queued.job, queued.estimateMillis, nowMillis)
        val reason = if (ahead == null) "in free capacity" else "backfilled beside the reservation of ${ahead.jobId}"
        if (placement == null) blocked(queued) else place(queued, placement, reason)
    }

    private fun blocked(queued: QueuedJob) {
        val job = queued.job
        val tried = free.reservation == null && reservations < MAX_RESERVATION_ATTEMPTS
        if (tried) reservations++
        when {
            tried && free.reserve(state, running, job, nowMillis) -> notes.hasReservation(job)
            tried -> notes.fitsNoUsableWorkers(job)
            else -> notes.waitsForBlock(job)
        }
    }

    private fun displace(job: JobRecord, shape: Shape, displacement: Displacement) {
        free.block(displacement.placement, shape)
        displacement.victims.forEach { victim ->
            val reason = "makes room for ${job.jobId} of ${job.account}"
            actions += ScheduleAction.Preempt(victim.jobId, bundle.limits.preemptionGraceMillis, reason, job.jobId)
        }
        notes.waitsForStops(job)
    }

    private fun place(queued: QueuedJob, placement: GangPlacement, reason: String) {
        val job = queued.job
        val shape = queued.guarantee?.let { state.guarantees.entries.getValue(it).shape } ?: job.spec.shape
        free.block(placement, shape)
        held.merge(job.account, job.spec.shape.acceleratorCount, Int::plus)
        placements++
        actions += ScheduleAction.Place(job.jobId, placement, queued.guarantee, reason)
    }
}
