package org.auburnlever.workload.learning

import org.auburnlever.workload.state.JobRecord

/** Forecasts how long tasks take and how fast workers are. */
interface DurationForecast {
    /** Returns the expected duration of one task of step [step] of [job] on a worker of typical speed. */
    fun taskMillis(job: JobRecord, step: Int): Long

    /** Returns the speed of the worker [workerId] in percent of the typical one; 100 if it is not known. */
    fun speedPercent(workerId: String): Int
}

/** The durations that clients declared, on workers of equal speed. */
object DeclaredDurations : DurationForecast {
    override fun taskMillis(job: JobRecord, step: Int): Long = job.spec.steps[step].estimatedMillis

    override fun speedPercent(workerId: String): Int = TYPICAL_PERCENT

    private const val TYPICAL_PERCENT = 100
}
