package org.auburnlever.placement

import org.auburnlever.ledger.GangPlacement
import org.auburnlever.ledger.JobRecord
import org.auburnlever.ledger.LeaderState
import org.auburnlever.ledger.LedgerState
import org.auburnlever.ledger.isGuaranteed
import org.auburnlever.ledger.mask
import org.auburnlever.model.Shape

private const val MILLIS_PER_SECOND = 1_000.0

/** A job that is not repeatable loses all its work and its caller sees a failure, so it is preempted last. */
private const val NOT_REPEATABLE_FACTOR = 100.0

/** A [placement] that is free once [victims] have stopped; without victims, once the tasks stopping anyway have. */
internal class Preemption(val placement: GangPlacement, val victims: List<JobRecord>)

/** Chooses which of the [running] jobs to preempt for another one, so that the least work is lost. */
internal class PreemptionPlanner(
    private val state: LedgerState,
    private val leader: LeaderState,
    private val running: List<RunningJob>,
    private val nowMillis: Long,
) {
    /** Jobs that may be preempted, in order of the work that would be lost. */
    private val preemptible: List<RunningJob> by lazy {
        running.filter { !it.isStopping && !state.isGuaranteed(it.job) }
            .map { it to lostWork(it.job) }
            .sortedWith(compareBy({ it.second }, { it.first.job.submittedIndex }))
            .map { it.first }
    }
    private val chosen = mutableSetOf<RunningJob>()

    /**
     * Finds a placement for [shape] in [capacity], which is not changed, by preempting jobs that [mayPreempt] allows.
     *
     * Releases jobs in order of the work lost until the shape fits; of these, only the jobs that hold what the
     * placement needs become victims.
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

    /** Returns the candidates that hold accelerators, cores or memory that [placement] needs beyond those of [base]. */
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

    /** Weighted accelerator-seconds that a stop now would lose, since the newest checkpoint of each task. */
    private fun lostWork(job: JobRecord): Double {
        val ranMillis = job.runningMillis?.let { nowMillis - it } ?: 0L
        val lostMillis = checkpointAgeMillis(job)?.coerceAtMost(ranMillis) ?: ranMillis
        val size = maxOf(job.spec.shape.acceleratorCount, 1)
        val factor = if (job.spec.repeatable) 1.0 else NOT_REPEATABLE_FACTOR
        return factor * size * (1 + lostMillis / MILLIS_PER_SECOND)
    }

    /** Age of the oldest among the tasks' newest checkpoints; null if a task has none. */
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
