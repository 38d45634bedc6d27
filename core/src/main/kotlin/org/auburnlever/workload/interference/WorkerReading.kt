package org.auburnlever.workload.interference

import org.auburnlever.workload.state.TaskRun
import org.auburnlever.workload.state.WorkerRef

/**
 * The tasks on a worker as its newest list shows them.
 *
 * @property serving tasks that have a target for the tail of their response times
 * @property spare tasks that use spare cores
 * @property others tasks that neither serve nor use spare cores, with their speed since the list before
 * @property measuredMillis time before which nothing that the list shows was measured
 * @property unread whether a task with a target is assigned to the worker of which the list gives no tail
 * @property delayed whether the answer took longer than the poll waited, so that its figures may be old
 */
internal data class WorkerReading(
    val worker: WorkerRef,
    val serving: List<ServingTask> = emptyList(),
    val spare: List<SpareCoreTask> = emptyList(),
    val others: List<WorkingTask> = emptyList(),
    val measuredMillis: Long,
    val delayed: Boolean = false,
    val unread: Boolean = false,
) {
    /** Returns whether all [tasks] have slack; unknown if the figures are old or one is missing. */
    fun hasSlack(tasks: List<ServingTask>): Boolean =
        !delayed && !unread && tasks.all { it.strainPercent <= SLACK_PERCENT }

    private companion object {
        /** Figures are approximate, and a raised pace adds to the strain. */
        const val SLACK_PERCENT = 85
    }
}

/** A task that serves users; [tailMillis] is the tail of its response times, which must stay below [targetMillis]. */
internal data class ServingTask(
    val run: TaskRun,
    val image: String,
    val targetMillis: Long,
    val tailMillis: Long,
    val ageMillis: Long,
) {
    val isOverTarget: Boolean get() = tailMillis >= targetMillis

    /** The tail in percent of the target. */
    val strainPercent: Int get() = (tailMillis * PERCENT / targetMillis).coerceIn(0, MAX_STRAIN_PERCENT).toInt()
}

/**
 * A task that uses the cores that others leave.
 *
 * @property milliCores cores in use; null if the worker gave no figure
 * @property adopted whether an earlier leader started it, which may have paced it
 */
internal data class SpareCoreTask(
    val run: TaskRun,
    val image: String,
    val neededMilliCores: Long,
    val milliCores: Long? = null,
    val adopted: Boolean = false,
) {
    /** Whether its figure shows that it is not paced. */
    val showsFullPace: Boolean
        get() = milliCores != null && milliCores * PERCENT >= neededMilliCores * FULL_PACE_PERCENT

    private companion object {
        /** Figures are approximate; a pace below 100 that the scheduler orders is at most 80. */
        const val FULL_PACE_PERCENT = 90
    }
}

/** A task that makes [progressPerMinute] percent of progress in a minute. */
internal data class WorkingTask(val run: TaskRun, val image: String, val progressPerMinute: Int, val ageMillis: Long)

internal const val PERCENT = 100

/** Bounds the weight of one measurement; a tail of four times the target says no more than one of twice. */
private const val MAX_STRAIN_PERCENT = 400L
