package org.auburnlever.placement

import org.auburnlever.configuration.Bundle
import org.auburnlever.ledger.GangPlacement
import org.auburnlever.ledger.GuaranteeId
import org.auburnlever.ledger.JobRecord
import org.auburnlever.ledger.LeaderState
import org.auburnlever.ledger.LedgerState
import org.auburnlever.ledger.ScheduleAction
import org.auburnlever.model.AccountName
import org.auburnlever.model.Shape

/** Limits the size of one log entry; further jobs are placed by the next call. */
private const val MAX_PLACEMENTS = 64

/** Limits the time of one call; further claims are served by the next one. */
private const val MAX_CLAIMS = 16

/** Limits the time of one call; urgent jobs that need a search for victims are rare in practice. */
private const val MAX_PREEMPTION_SEARCHES = 8

/** Limits the time of one call, since jobs that do not fit on the usable workers get no reservation. */
private const val MAX_RESERVATION_ATTEMPTS = 4

/** Plans placements and preemptions for the queued jobs of one state; used for one call of the scheduler. */
internal class QueuePlanner(
    private val state: LedgerState,
    private val bundle: Bundle,
    private val leader: LeaderState,
    private val nowMillis: Long,
) {
    private val weights = Weights(bundle.policy.completionTime, bundle.policy.fragmentation)
    private val capacity = PlanCapacity(Capacity.free(state, weights, nowMillis))
    private val running = RunningJobs(state, capacity.all)
    private val preemptionPlanner by lazy { PreemptionPlanner(state, leader, running.all, nowMillis) }
    private val placedAccelerators = mutableMapOf<AccountName, Int>()
    private val waitReasons = WaitReasons(state, nowMillis)
    private val actions = mutableListOf<ScheduleAction>()
    private var claims = 0
    private var preemptionSearches = 0
    private var reservationAttempts = 0
    private var placements = 0

    fun plan(): List<ScheduleAction> {
        val queue = if (state.jobs.queued.isEmpty()) emptyList() else QueueOrder(state, bundle, nowMillis).jobs()
        queue.asSequence().takeWhile { placements < MAX_PLACEMENTS }.forEach { serve(it) }
        return actions + waitReasons.actions
    }

    private fun serve(queued: QueuedJob) = when {
        queued.guarantee != null -> if (claims++ < MAX_CLAIMS) serveClaim(queued, queued.guarantee) else Unit
        isOverQuota(queued.job) -> waitReasons.addQuota(queued.job)
        queued.queueClass == QueueClass.URGENT -> serveUrgent(queued)
        else -> serveRoutine(queued)
    }

    /** The quota limits only borrowed work, since a guaranteed shape must be claimable at any time. */
    private fun isOverQuota(job: JobRecord): Boolean {
        val now = (state.accounts[job.account]?.heldAccelerators ?: 0) + (placedAccelerators[job.account] ?: 0)
        return now.toLong() + job.spec.shape.acceleratorCount > state.policy.quota(job.account)
    }

    private fun serveClaim(queued: QueuedJob, guarantee: GuaranteeId) {
        val shape = state.guarantees.entries.getValue(guarantee).shape
        val claimCapacity = capacity.all.limitedToClaim(state, guarantee, nowMillis)
        val placement = claimCapacity.findPlacement(shape)
        if (placement != null) {
            place(queued, placement, "claim of guarantee ${guarantee.index}")
        } else {
            val preemption = preemptionPlanner.plan(claimCapacity, shape) { true }
            if (preemption == null) waitReasons.addNoFreeBlock(queued.job) else preempt(queued.job, shape, preemption)
        }
    }

    private fun serveUrgent(queued: QueuedJob) {
        val job = queued.job
        val placement = capacity.findPlacement(job, queued.expectedRunMillis, nowMillis)
        if (placement != null) {
            place(queued, placement, "urgent, in free capacity")
        } else {
            val preemption = if (preemptionSearches < MAX_PREEMPTION_SEARCHES) preemptRoutine(job) else null
            if (preemption == null) handleBlocked(queued) else preempt(job, job.spec.shape, preemption)
        }
    }

    private fun preemptRoutine(job: JobRecord): Preemption? {
        preemptionSearches++
        return preemptionPlanner.plan(capacity.all, job.spec.shape) { !it.spec.urgent }
    }

    private fun serveRoutine(queued: QueuedJob) {
        val ahead = capacity.reservation
        val placement = capacity.findPlacement(queued.job, queued.expectedRunMillis, nowMillis)
        val reason = if (ahead == null) "in free capacity" else "backfilled beside the reservation of ${ahead.jobId}"
        if (placement == null) handleBlocked(queued) else place(queued, placement, reason)
    }

    private fun handleBlocked(queued: QueuedJob) {
        val job = queued.job
        val tries = capacity.reservation == null && reservationAttempts < MAX_RESERVATION_ATTEMPTS
        if (tries) reservationAttempts++
        when {
            tries && capacity.reserve(state, running, job, nowMillis) -> waitReasons.addReservation(job)
            tries -> waitReasons.refuseIfImpossible(job)
            else -> waitReasons.addNoFreeBlock(job)
        }
    }

    private fun preempt(job: JobRecord, shape: Shape, preemption: Preemption) {
        capacity.allocate(preemption.placement, shape)
        preemption.victims.forEach { victim ->
            val reason = "makes room for ${job.jobId} of ${job.account}"
            actions += ScheduleAction.Preempt(victim.jobId, bundle.limits.preemptionGraceMillis, reason, job.jobId)
        }
        waitReasons.addPendingStops(job)
    }

    private fun place(queued: QueuedJob, placement: GangPlacement, reason: String) {
        val job = queued.job
        val shape = queued.guarantee?.let { state.guarantees.entries.getValue(it).shape } ?: job.spec.shape
        capacity.allocate(placement, shape)
        placedAccelerators.merge(job.account, job.spec.shape.acceleratorCount, Int::plus)
        placements++
        actions += ScheduleAction.Place(job.jobId, placement, queued.guarantee, reason)
    }
}
