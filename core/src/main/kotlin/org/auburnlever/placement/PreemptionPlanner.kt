package org.auburnlever.placement

import org.auburnlever.ledger.GangPlacement
import org.auburnlever.ledger.JobRecord
import org.auburnlever.ledger.LeaderState
import org.auburnlever.ledger.LedgerState
import org.auburnlever.ledger.isGuaranteed
import org.auburnlever.ledger.mask
import org.auburnlever.world.Shape

private const val MILLIS_PER_SECOND = 1_000.0

/** A job that can't be run again loses everything, and its caller sees a failure, so it is displaced last. */
private const val NOT_REPEATABLE_FACTOR = 100.0

/** A place that becomes free once [victims] have stopped; without victims, once the tasks that stop anyway have. */
internal class Preemption(val placement: GangPlacement, val victims: List<JobRecord>)

/** Chooses which of the [running] jobs make room for another, with the least work lost. */
internal class PreemptionPlanner(
    private val state: LedgerState,
    private val leader: LeaderState,
    private val running: List<RunningJob>,
    private val nowMillis: Long,
) {
    /** Jobs that may be preempted, the least work lost first. */
    private val preemptible: List<RunningJob> by lazy {
        running.filter { !it.isStopping && !state.isGuaranteed(it.job) }
            .map { it to lostWork(it.job) }
            .sortedWith(compareBy({ it.second }, { it.first.job.submittedIndex }))
            .map { it.first }
    }
    private val chosen = mutableSetOf<RunningJob>()

    /**
     * Finds a place for [shape] in [capacity] after preempting jobs that [mayPreempt] allows. [capacity] is left as it
     * is. The jobs are released in order of their lost work until the shape fits; of those, only the ones in the way
     * are victims.
     */
    fun plan(capacity: Capacity, shape: Shape, mayPreempt: (JobRecord) -> Boolean): Preemption? {
        val base = capacity.copyOf()
        running.forEach { if (it.isStopping || it in chosen) it.releaseIn(base) }
        val afterStops = base.findPlacement(shape)
        return if (afterStops != null) Preemption(afterStops, emptyList()) else findWithVictims(base, shape, mayPreempt)
    }

    private fun findWithVictims(base: Capacity, shape: Shape, mayPreempt: (JobRecord) -> Boolean): Preemption? {
        val candidates = preemptible.filter { it !in chosen && mayPreempt(it.job) }
        val found = bisectReleases(base, candidates) { it.findPlacement(shape) }
        return found?.let { (count, placement) ->
            val victims = blockingJobs(base, placement, shape, candidates.subList(0, count))
            chosen += victims
            Preemption(placement, victims.map { it.job })
        }
    }

    /** The candidates whose accelerators, cores or memory [placement] needs beyond what [base] has. */
    private fun blockingJobs(
        base: Capacity,
        placement: GangPlacement,
        shape: Shape,
        candidates: List<RunningJob>,
    ): List<RunningJob> {
        val rest = base.copyOf()
        rest.allocate(placement, shape)
        val needed = LongArray(rest.workers.size)
        placement.tasks.forEach { needed[rest.indexOf(it.worker)] = needed[rest.indexOf(it.worker)] or it.mask() }
        val (overlapping, others) = candidates.partition { it.overlaps(needed) }
        overlapping.forEach { it.releaseIn(rest) }
        val overcommitting = others.filter { job -> job.holdsOvercommitted(rest).also { if (it) job.releaseIn(rest) } }
        return overlapping + overcommitting
    }

    /** Seconds of work times accelerators that a stop now would lose; the newest checkpoint of each task counts. */
    private fun lostWork(job: JobRecord): Double {
        val ranMillis = job.runningMillis?.let { nowMillis - it } ?: 0L
        val lostMillis = checkpointAgeMillis(job)?.coerceAtMost(ranMillis) ?: ranMillis
        val size = maxOf(job.spec.shape.acceleratorCount, 1)
        val factor = if (job.spec.repeatable) 1.0 else NOT_REPEATABLE_FACTOR
        return factor * size * (1 + lostMillis / MILLIS_PER_SECOND)
    }

    /** Age of the oldest of the tasks' newest checkpoints, null if a task has none. */
    private fun checkpointAgeMillis(job: JobRecord): Long? {
        val ages = if (job.spec.checkpointable) job.tasks.indices.map { ageMillis(job, it) } else listOf(null)
        return if (null in ages) null else ages.filterNotNull().maxOrNull()
    }

    private fun ageMillis(job: JobRecord, taskIndex: Int): Long? {
        val seen = leader.workers[job.tasks[taskIndex].placement.worker]
        val report = seen?.reports?.firstOrNull {
            it.jobId == job.jobId && it.taskIndex == taskIndex && it.token == job.token
        }
        return report?.checkpointAgeMillis?.let { it + nowMillis - seen.atMillis }
    }
}
