package org.auburnlever.workload.preemption

import org.auburnlever.workload.learning.DurationForecast
import org.auburnlever.workload.state.JobRecord

/**
 * What answers are worth to callers, by the operators' scale.
 *
 * A job's worth is that of its queue, scaled by [BASE_SHARE] plus the rest times its work against its queue's mean.
 */
internal class CallerWorth(private val jobs: Collection<JobRecord>, private val durations: DurationForecast) {
    private val meanWorkOfQueue by lazy(LazyThreadSafetyMode.NONE) {
        jobs.groupBy { it.queue }.mapValues { (_, ofQueue) -> ofQueue.map { work(it) }.average() }
    }

    /** Returns what the caller of [job] loses if it ends late instead of on time. */
    fun lossIfLate(job: JobRecord): Double {
        val mean = meanWorkOfQueue[job.queue] ?: 0.0
        val relative = if (mean > 0) work(job) / mean else 1.0
        val ofPriority = LOSS_IF_LATE.getOrElse(job.policy.priority) { LOSS_IF_LATE.last() }
        return ofPriority * (BASE_SHARE + (1 - BASE_SHARE) * relative)
    }

    /** Returns the work of [job] in milli-core-milliseconds. */
    private fun work(job: JobRecord): Double = job.spec.steps.indices.sumOf { index ->
        val step = job.spec.steps[index]
        if (step.longRunning) {
            0.0
        } else {
            step.taskCount.toDouble() * step.reserved.weightMilliCores * durations.taskMillis(job, index)
        }
    }

    companion object {
        /** Worth on time less worth when late, by priority: 4 and 0.8, 3 and 0.9, 1 and 0.3. */
        private val LOSS_IF_LATE = listOf(3.2, 2.1, 0.7)
        private const val BASE_SHARE = 0.3

        /**
         * Work that the fleet does for a worth of 1, in milli-core-milliseconds.
         *
         * A full fleet that repeats this much work serves other callers less by about the same worth: in the operators'
         * deployments a gang of 6,100 core-seconds is worth 3, and a batch job of 3,400 core-seconds 1.
         */
        const val WORK_FOR_WORTH = 2_000_000_000.0
    }
}
