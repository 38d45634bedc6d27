package org.auburnlever.workload.admission

import org.auburnlever.workload.planning.WaitingStep
import org.auburnlever.workload.planning.usefulMillis
import org.auburnlever.workload.state.StepSpec

/**
 * A waiting step as a [RoomForecast] counts it.
 *
 * @property shape number of what the step needs: steps with equal numbers find room at the same time
 * @property rank rank of its account, see [org.auburnlever.workload.sharing.AccountOrder]
 * @property latestStartMillis latest start with which it meets its objective
 * @property uselessFromMillis start from which its answer is of no use
 */
internal class WaitingItem(
    val step: WaitingStep,
    val taskCount: Int,
    val taskMillis: Long,
    val rank: Int,
    val shape: Int,
) {
    val spec: StepSpec get() = step.spec
    val priority: Int get() = step.priority
    val latestStartMillis: Long = step.job.objectiveMillis(step.id.occurrence) - taskMillis
    val uselessFromMillis: Long =
        if (spec.longRunning) {
            Long.MAX_VALUE
        } else {
            step.job.beginMillis(step.id.occurrence) + step.job.usefulMillis() - taskMillis
        }

    private val whole: Boolean get() = spec.gang || spec.rackSensitive

    /** Returns whether [other] can't find room either once this step has found none for the rest of its tasks. */
    fun rulesOut(other: WaitingItem): Boolean = step.job.service == other.step.job.service &&
        spec.maxTasksPerWorker <= 0 &&
        (spec.constraint == null || spec.constraint == other.spec.constraint) &&
        (spec.dataRack == null || spec.dataRack == other.spec.dataRack) &&
        (!whole || hasNoMoreTasksThan(other)) &&
        other.spec.reserved.holds(spec.reserved)

    private fun hasNoMoreTasksThan(other: WaitingItem): Boolean = spec.gang == other.spec.gang &&
        spec.rackSensitive == other.spec.rackSensitive &&
        taskCount <= other.taskCount

    companion object {
        /** The order of the planner within one priority and standing. */
        val ORDER: Comparator<WaitingItem> =
            compareBy({ !it.step.guaranteed }, { it.rank }, { it.latestStartMillis + it.taskMillis })
    }
}
