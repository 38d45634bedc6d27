package org.auburnlever.workload.learning

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnlever.codec.PersistentMapSerializer
import org.auburnlever.workload.planning.START_MILLIS
import org.auburnlever.workload.state.EndKind
import org.auburnlever.workload.state.JobRecord
import org.auburnlever.workload.state.RunEnd
import org.auburnlever.workload.state.TaskPhase

/**
 * The replicated record of what ended runs showed about the durations of tasks and the speeds of workers.
 *
 * It is stored whatever features are on, since all replicas must store equal state. `StrictMath` gives equal results on
 * all processors.
 *
 * @property queues what is known of each queue, by its name
 * @property speeds what is known of each worker, by its id
 */
@Serializable
data class LearnedDurations(
    @Serializable(PersistentMapSerializer::class)
    val queues: PersistentMap<String, QueueDurations> = persistentMapOf(),
    @Serializable(PersistentMapSerializer::class)
    val speeds: PersistentMap<String, WorkerSpeed> = persistentMapOf(),
) {
    /** Returns the natural logarithm of the speed of the worker [id] relative to a typical one. */
    internal fun logSpeed(id: String): Double = speeds[id]?.expected ?: 0.0

    /**
     * Returns the record after step [step] of [job] has ended with the complete runs [runs].
     *
     * The tasks of a step are alike, so a step is one sample of its queue, and the difference between its runs comes
     * from the workers.
     */
    internal fun afterStep(job: JobRecord, step: Int, runs: List<MeasuredRun>, nowMillis: Long): LearnedDurations {
        if (runs.isEmpty()) return this
        val median = runs.map { it.typicalLog(this) }.sorted()[runs.size / 2]
        val account = job.account?.value
        val declared = job.spec.steps[step].estimatedMillis.takeIf { it > 0 }?.let { logOf(it) }
        val known = queues[job.queue] ?: QueueDurations()
        val sampled = known.withSample(median, declared, account, nowMillis)
        val comparable = runs.distinctBy { it.worker }.size > 1
        val variance = if (comparable) varianceOf(runs, median) else null
        val queue = if (variance == null) sampled else sampled.withStepVariance(variance)
        return copy(
            queues = queues.putBounded(job.queue, queue, MAX_QUEUES),
            speeds = if (comparable) speedsAfter(runs, median, queue.expectedStepVariance, nowMillis) else speeds,
        )
    }

    private fun varianceOf(runs: List<MeasuredRun>, median: Double): Double =
        runs.sumOf { run -> (run.boundedLog(median) - median).let { it * it } } / (runs.size - 1)

    private fun speedsAfter(
        runs: List<MeasuredRun>,
        median: Double,
        stepVariance: Double,
        nowMillis: Long,
    ): PersistentMap<String, WorkerSpeed> {
        val sum = runs.sumOf { it.boundedLog(median) }
        val weight = minOf(1.0, PRECISE_VARIANCE / stepVariance)
        return runs.fold(speeds) { next, run ->
            val othersMean = (sum - run.boundedLog(median)) / (runs.size - 1)
            val speed = (next[run.worker] ?: WorkerSpeed()).with(othersMean - logOf(run.millis), weight, nowMillis)
            next.putBounded(run.worker, speed, MAX_WORKERS)
        }
    }

    private fun MeasuredRun.boundedLog(median: Double): Double =
        typicalLog(this@LearnedDurations).coerceIn(median - MAX_RUN_DEVIATION, median + MAX_RUN_DEVIATION)

    companion object {
        const val MAX_QUEUES = 64

        /** Number of workers that are kept; the design is for 550, some of which are replaced under other ids. */
        const val MAX_WORKERS = 1_024

        /** A run that differs more from its step was disturbed, for example by an unreachable worker. */
        private const val MAX_RUN_DEVIATION = 0.7

        /** With this variance or less between the tasks of a step, one run says enough about its worker. */
        private const val PRECISE_VARIANCE = 0.03
    }
}

/**
 * The speed of a worker, measured against other workers that ran tasks of the same steps.
 *
 * @property weight number of runs that it comes from; runs of uneven steps count as less
 * @property log natural logarithm of the speed relative to a typical worker
 */
@Serializable
data class WorkerSpeed(
    val weight: Double = 0.0,
    val log: Double = 0.0,
    override val updatedMillis: Long = 0,
) : Aging {
    /** The logarithm of the speed to expect; near 0 while there are few runs. */
    val expected: Double get() = log * weight / (weight + PRIOR_WEIGHT)

    internal fun with(observed: Double, runWeight: Double, nowMillis: Long): WorkerSpeed {
        val total = minOf(weight, MAX_WEIGHT - runWeight) + runWeight
        val bounded = observed.coerceIn(log - MAX_CHANGE, log + MAX_CHANGE)
        return WorkerSpeed(total, log + (bounded - log) * runWeight / total, nowMillis)
    }

    private companion object {
        /** A worker runs about one task in two seconds, so a change of its speed shows within about ten seconds. */
        const val MAX_WEIGHT = 6.0
        const val PRIOR_WEIGHT = 1.0

        /** The slowest and the fastest workers differ by a factor of 1.6; this is a factor of two. */
        const val MAX_CHANGE = 0.7
    }
}

/**
 * The duration of one complete run of a step in progress.
 *
 * @property worker id of its worker; empty for a gang, which is as fast as all its workers together
 */
@Serializable
data class MeasuredRun(@SerialName("w") val worker: String, @SerialName("ms") val millis: Long)

/** Returns the logarithm of the duration that the run would have had on a typical worker. */
internal fun MeasuredRun.typicalLog(learned: LearnedDurations): Double = logOf(millis) + learned.logSpeed(worker)

/**
 * Returns the run that [end] completes at [nowMillis], or null if it says nothing about how long such tasks take.
 *
 * Failed and stopped runs, those restored from a checkpoint, long-running ones and those that ran slowly because of
 * their racks are left out, and so are runs that were given up before their end was known.
 */
internal fun JobRecord.measuredRun(end: RunEnd, nowMillis: Long): MeasuredRun? {
    val spec = spec.steps[end.run.task.step]
    val record = step(end.run.task.stepId)
    val task = record?.tasks?.getOrNull(end.run.task.index) ?: return null
    val worker = task.worker?.takeIf {
        end.kind == EndKind.DONE && task.phase == TaskPhase.ASSIGNED && task.checkpoint.isEmpty() &&
            !spec.longRunning && !record.slowed
    }
    val millis = maxOf(1, nowMillis - task.assignedMillis - START_MILLIS)
    return worker?.let { MeasuredRun(if (spec.gang) "" else it.id, millis) }
}

/** Number of runs of a step in progress that are kept; more of them would hardly change their mean. */
internal const val MAX_MEASURED_RUNS = 64

internal fun logOf(millis: Long): Double = StrictMath.log(millis.toDouble())
