package org.auburnlever.workload.planning

import org.auburnlever.workload.learning.DeclaredDurations
import org.auburnlever.workload.learning.DurationForecast
import org.auburnlever.workload.state.JobRecord
import org.auburnlever.workload.state.TaskId
import org.auburnlever.workload.state.TaskRecord
import kotlin.math.exp
import kotlin.math.ln

/**
 * The progress of a run that its worker reported.
 *
 * @property percent share of the task's work that was done at [reportedMillis], including what a checkpoint restored
 */
data class RunProgress(val percent: Int, val reportedMillis: Long)

/**
 * Estimates how much longer the task [id] runs, from its reported [progress] and from [durations].
 *
 * Returns [NEVER_MILLIS] for a long-running task. Declared durations may be wrong by half, so the reported progress is
 * preferred as soon as it says enough. Learned durations have a measured error, so they are weighed against the
 * progress.
 */
internal fun JobRecord.remainingMillis(
    id: TaskId,
    task: TaskRecord,
    progress: RunProgress?,
    nowMillis: Long,
    durations: DurationForecast = DeclaredDurations,
): Long {
    if (spec.steps[id.step].longRunning) return NEVER_MILLIS
    val beganMillis = task.assignedMillis + START_MILLIS
    val usable = progress?.takeIf { task.checkpoint.isEmpty() && it.reportedMillis > beganMillis }
    val forecastMillis = runMillis(id, task, durations) * (PERCENT - restoredPercent(task, progress)) / PERCENT
    val spread = durations.taskSpread(this, id.step)
    val totalMillis = when {
        spread != null && usable != null && usable.percent > 0 ->
            combinedMillis(forecastMillis, spread, usable.percent, usable.reportedMillis - beganMillis)
        spread == null && progress != null && progress.percent >= MIN_PERCENT && task.checkpoint.isEmpty() ->
            (progress.reportedMillis - beganMillis) * PERCENT / progress.percent
        else -> forecastMillis
    }
    val leftMillis = beganMillis + totalMillis - nowMillis
    // A run that has passed its forecast may end at any moment or be far from its end; its past is the best measure.
    return if (leftMillis > 0) leftMillis else maxOf(MIN_REMAINING_MILLIS, totalMillis / OVERRUN_DIVISOR)
}

/** Returns the expected duration of a whole run on the worker of [task] and on the racks of its step. */
private fun JobRecord.runMillis(id: TaskId, task: TaskRecord, durations: DurationForecast): Long {
    val typicalMillis = durations.taskMillis(this, id.step)
    if (durations === DeclaredDurations) return typicalMillis
    val step = spec.steps[id.step]
    val speedPercent = task.worker?.takeUnless { step.gang }?.let { durations.speedPercent(it.id) } ?: PERCENT
    val slowed = step.rackSensitive && step(id.stepId)?.slowed ?: false
    return typicalMillis * (if (slowed) SLOWED_FACTOR else 1) * PERCENT / maxOf(speedPercent, 1)
}

/**
 * Combines a forecast with [percent] of the work done in [elapsedMillis], each weighed by its relative error.
 *
 * A run whose progress contradicts the forecast is one of the heavy tail, which [spread] does not cover, so the
 * forecast then counts less.
 */
private fun combinedMillis(forecastMillis: Long, spread: Double, percent: Int, elapsedMillis: Long): Long {
    val measuredMillis = elapsedMillis.toDouble() * PERCENT / percent
    val roundingError = PERCENT_ERROR / percent
    val startError = START_ERROR_MILLIS / elapsedMillis
    val measuredVariance = roundingError * roundingError + startError * startError + RATE_VARIANCE
    val forecastLog = ln(maxOf(1.0, forecastMillis.toDouble()))
    val difference = ln(measuredMillis) - forecastLog
    val contradiction = difference * difference / CONTRADICTION_SQUARE - measuredVariance
    val forecastVariance = maxOf(spread * spread, contradiction)
    return exp(forecastLog + difference * forecastVariance / (forecastVariance + measuredVariance)).toLong()
}

private fun restoredPercent(task: TaskRecord, progress: RunProgress?): Int =
    if (task.checkpoint.isEmpty()) 0 else (progress?.percent ?: 0).coerceIn(0, PERCENT)

/** Duration that stands for a run without an end. */
internal const val NEVER_MILLIS = Long.MAX_VALUE / 4

/** Time from the record of an assignment until the task works: a commit and a call between regions. */
internal const val START_MILLIS = 150L

/** Below this, the rounding of the percentage makes the forecast too coarse. */
private const val MIN_PERCENT = 8
private const val PERCENT = 100
private const val MIN_REMAINING_MILLIS = 100L
private const val OVERRUN_DIVISOR = 4

/** Tasks that prefer a single rack take three times as long on several. */
private const val SLOWED_FACTOR = 3L

/** Standard deviation of a number that is rounded down to whole percent. */
private const val PERCENT_ERROR = 0.3

/** Runs begin up to about this much earlier or later than [START_MILLIS] says. */
private const val START_ERROR_MILLIS = 100.0

/** Square of the number of standard deviations beyond which a difference is a contradiction: 2. */
private const val CONTRADICTION_SQUARE = 4.0

/** Work advances unevenly, by about 5%. */
private const val RATE_VARIANCE = 0.0025
