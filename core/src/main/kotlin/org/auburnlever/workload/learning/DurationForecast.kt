package org.auburnlever.workload.learning

import org.auburnlever.workload.state.JobRecord
import org.auburnlever.workload.state.JobSpec

/** Forecasts how long tasks take and how fast workers are. */
interface DurationForecast {
    /** Returns the expected duration of one task of step [step] of [job] on a worker of typical speed. */
    fun taskMillis(job: JobRecord, step: Int): Long

    /** Returns the speed of the worker [workerId] in percent of the typical one; 100 if it is not known. */
    fun speedPercent(workerId: String): Int

    /**
     * Returns the standard deviation of the natural logarithm of [taskMillis], which is about its relative error.
     *
     * Null if the error is not measured, as for declared durations.
     */
    fun taskSpread(job: JobRecord, step: Int): Double? = null

    /** Returns the expected duration of the longest chain of dependent steps of [job]. */
    fun criticalPathMillis(job: JobRecord): Long = job.spec.longestChainMillis { taskMillis(job, it) }

    /** Returns the completion objective: the Unix time by which [occurrence] of [job] should be done. */
    fun objectiveMillis(job: JobRecord, occurrence: Int = 0): Long =
        job.beginMillis(occurrence) + job.policy.objectiveAfterMillis(criticalPathMillis(job))
}

/** The durations that clients declared, on workers of equal speed. */
object DeclaredDurations : DurationForecast {
    override fun taskMillis(job: JobRecord, step: Int): Long = job.spec.steps[step].estimatedMillis

    override fun speedPercent(workerId: String): Int = TYPICAL_PERCENT

    override fun criticalPathMillis(job: JobRecord): Long = job.criticalPathMillis()
}

/** Returns the length of the longest chain of dependent steps, whose durations are [stepMillis]. */
internal fun JobSpec.longestChainMillis(stepMillis: (Int) -> Long): Long {
    val ends = ArrayList<Long>()
    for ((index, step) in steps.withIndex()) {
        ends += stepMillis(index) + (step.dependsOn.maxOfOrNull { ends.getOrElse(it) { 0L } } ?: 0L)
    }
    return ends.maxOrNull() ?: 0L
}

/** Speed of a worker of which nothing is known. */
internal const val TYPICAL_PERCENT = 100
