package org.auburnlever.placement

import org.auburnlever.ledger.GangPlacement
import org.auburnlever.ledger.JobRecord
import org.auburnlever.ledger.LeaderState
import org.auburnlever.ledger.LedgerState
import org.auburnlever.ledger.isGuaranteed
import org.auburnlever.ledger.mask
import org.auburnlever.wire.JobPhase
import org.auburnlever.world.Shape
import org.auburnlever.world.WorkerName

private const val MILLIS_PER_SECOND = 1_000.0

/** A job that can't be run again loses everything, and its caller sees a failure, so it is displaced last. */
private const val NOT_REPEATABLE_FACTOR = 100.0

/** A place that becomes free once [victims] have stopped; without victims, once the tasks that stop anyway have. */
internal class Displacement(val placement: GangPlacement, val victims: List<JobRecord>)

/** Chooses which running jobs make room for another, with the least work lost. */
internal class Displacer(
    private val state: LedgerState,
    private val leader: LeaderState,
    private val nowMillis: Long,
) {
    private val active = state.jobs.active.map { state.jobs.all.getValue(it) }
    private val stopping = active.filter { it.phase == JobPhase.STOPPING }

    /** Jobs that run and may be preempted, the least work lost first. */
    private val preemptible: List<JobRecord> by lazy {
        active.filter { it.phase != JobPhase.STOPPING && !state.isGuaranteed(it) }
            .map { it to lostWork(it) }
            .sortedWith(compareBy({ it.second }, { it.first.submittedIndex }))
            .map { it.first }
    }
    private val chosen = mutableSetOf<String>()

    /**
     * Finds a place for [shape] in [room] after preempting jobs that [mayPreempt] allows. [room] is left as it is. The
     * jobs are released in order of their lost work until the shape fits; of those, only the ones in the way are
     * victims.
     */
    fun find(room: Room, shape: Shape, mayPreempt: (JobRecord) -> Boolean): Displacement? {
        val soon = stopping + preemptible.filter { it.jobId in chosen }
        val base = room.copyOf().also { copy -> soon.forEach { copy.releaseHeld(it) } }
        val candidates by lazy { preemptible.filter { it.jobId !in chosen && mayPreempt(it) } }
        val waiting = base.find(shape)
        return if (waiting != null) Displacement(waiting, emptyList()) else preempt(base, shape, candidates)
    }

    private fun preempt(base: Room, shape: Shape, candidates: List<JobRecord>): Displacement? {
        val all = fit(base, candidates, candidates.size, shape) ?: return null
        var low = 1
        var high = candidates.size
        var placement = all
        while (low < high) {
            val middle = (low + high) / 2
            val fit = fit(base, candidates, middle, shape)
            if (fit == null) {
                low = middle + 1
            } else {
                high = middle
                placement = fit
            }
        }
        val victims = inTheWay(base, placement, shape, candidates.subList(0, high))
        chosen += victims.map { it.jobId }
        return Displacement(placement, victims)
    }

    private fun fit(base: Room, candidates: List<JobRecord>, count: Int, shape: Shape): GangPlacement? {
        val room = base.copyOf()
        candidates.subList(0, count).forEach { room.releaseHeld(it) }
        return room.find(shape)
    }

    /** The candidates whose accelerators, cores or memory [placement] needs beyond what [base] has. */
    private fun inTheWay(
        base: Room,
        placement: GangPlacement,
        shape: Shape,
        candidates: List<JobRecord>,
    ): List<JobRecord> {
        val rest = base.copyOf()
        rest.block(placement, shape)
        val needed = placement.tasks.groupBy({ it.worker }, { it.mask() })
            .mapValues { (_, masks) -> masks.fold(0L) { sum, mask -> sum or mask } }
        val overlapping = candidates.filter { job -> job.overlaps(needed) }
        overlapping.forEach { rest.releaseHeld(it) }
        val crowded = candidates.filter { job ->
            val helps = job !in overlapping && job.tasks.any { rest.isShort(it.placement.worker) }
            if (helps) rest.releaseHeld(job)
            helps
        }
        return overlapping + crowded
    }

    /** Seconds of work times accelerators that a stop now would lose; the newest checkpoint of each gang counts. */
    fun lostWork(job: JobRecord): Double {
        val ranMillis = job.runningMillis?.let { nowMillis - it } ?: 0L
        val lostMillis = checkpointAgeMillis(job)?.coerceAtMost(ranMillis) ?: ranMillis
        val size = maxOf(job.spec.shape.acceleratorCount, 1)
        val factor = if (job.spec.repeatable) 1.0 else NOT_REPEATABLE_FACTOR
        return factor * size * (1 + lostMillis / MILLIS_PER_SECOND)
    }

    /** Age of the oldest of the tasks' newest checkpoints, null if a task has none. */
    private fun checkpointAgeMillis(job: JobRecord): Long? {
        val ages = job.tasks.indices.map { ageMillis(job, it) }
        return if (!job.spec.checkpointable || null in ages) null else ages.filterNotNull().maxOrNull()
    }

    private fun ageMillis(job: JobRecord, taskIndex: Int): Long? {
        val seen = leader.workers[job.tasks[taskIndex].placement.worker]
        val report = seen?.reports?.firstOrNull {
            it.jobId == job.jobId && it.taskIndex == taskIndex && it.token == job.token
        }
        return report?.checkpointAgeMillis?.let { it + nowMillis - seen.atMillis }
    }
}

private fun JobRecord.overlaps(needed: Map<WorkerName, Long>): Boolean = tasks.any { task ->
    !task.state.isFinal && (needed[task.placement.worker] ?: 0L) and task.placement.mask() != 0L
}

private fun Room.isShort(worker: WorkerName): Boolean =
    slot(worker)?.let { it.freeCores < 0 || it.freeMemoryMiB < 0 } == true

/** Gives back what [job] still holds. */
internal fun Room.releaseHeld(job: JobRecord) = job.tasks.forEach { task ->
    if (!task.state.isFinal) release(task.placement, job.spec.shape)
}
