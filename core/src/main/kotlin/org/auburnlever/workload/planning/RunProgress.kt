package org.auburnlever.workload.planning

import org.auburnlever.workload.state.JobRecord
import org.auburnlever.workload.state.TaskId
import org.auburnlever.workload.state.TaskRecord

/**
 * The progress of a run that its worker reported.
 *
 * @property percent share of the task's work that was done at [reportedMillis], including what a checkpoint restored
 */
data class RunProgress(val percent: Int, val reportedMillis: Long)

/**
 * Estimates how much longer the task [id] runs, from its reported [progress] or else from the declared duration.
 *
 * Returns [NEVER_MILLIS] for a long-running task. Declared durations may be wrong by half, so the reported progress is
 * preferred as soon as it says enough.
 */
internal fun JobRecord.remainingMillis(id: TaskId, task: TaskRecord, progress: RunProgress?, nowMillis: Long): Long {
    val step = spec.steps[id.step]
    if (step.longRunning) return NEVER_MILLIS
    val beganMillis = task.assignedMillis + START_MILLIS
    val measuredMillis = progress?.takeIf { it.percent >= MIN_PERCENT && task.checkpoint.isEmpty() }
        ?.let { (it.reportedMillis - beganMillis) * PERCENT / it.percent }
    val totalMillis = measuredMillis ?: (step.estimatedMillis * (PERCENT - restoredPercent(task, progress)) / PERCENT)
    val leftMillis = beganMillis + totalMillis - nowMillis
    // A run that has passed its forecast may end at any moment or be far from its end; its past is the best measure.
    return if (leftMillis > 0) leftMillis else maxOf(MIN_REMAINING_MILLIS, totalMillis / OVERRUN_DIVISOR)
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
