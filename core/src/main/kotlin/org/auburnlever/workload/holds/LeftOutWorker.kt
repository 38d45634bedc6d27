package org.auburnlever.workload.holds

import org.auburnlever.workload.evacuation.WorkerWarmUp
import org.auburnlever.workload.evacuation.forbidsStartsOn
import org.auburnlever.workload.planning.RunProgress
import org.auburnlever.workload.runs.LeaderState
import org.auburnlever.workload.runs.WorkerView
import org.auburnlever.workload.state.Resources
import org.auburnlever.workload.state.TaskRun
import org.auburnlever.workload.state.WorkloadState

/**
 * A reachable worker of which [rule] keeps all or a part from a plan.
 *
 * @property view the worker with its whole capacity
 * @property kept the capacity that the plan may not use
 * @property owner see [RoomHold.owner]
 * @property untilMillis Unix time at which the rule ends for this worker at the latest
 */
data class LeftOutWorker(
    val view: WorkerView,
    val rule: HoldRule,
    val kept: Resources,
    val owner: String,
    val untilMillis: Long,
)

/** Returns what is kept on the worker as a hold; how much of it is in use is not considered. */
internal fun LeftOutWorker.hold() = RoomHold(view.ref.id, rule, owner, kept, untilMillis)

/** Returns the reachable workers that a plan does not use or only in part, although starts there could take effect. */
internal fun LeaderState.leftOutWorkers(
    state: WorkloadState,
    progress: Map<TaskRun, RunProgress>,
    nowMillis: Long,
): List<LeftOutWorker> {
    val reachable = workers.values.filter {
        it.reachable(nowMillis, limits.reportLimitMillis) && !state.forbidsStartsOn(it)
    }
    val (usable, avoided) = reachable.partition { it.usable(nowMillis, limits.reportLimitMillis) }
    return avoided.mapNotNull { it.leftOut(nowMillis) } + WorkerWarmUp(state, progress, nowMillis).leftOut(usable)
}

private fun WorkerView.leftOut(nowMillis: Long): LeftOutWorker? {
    val capacity = report?.capacity ?: return null
    return if (nowMillis < suspendedUntilMillis) {
        val owner = failedJobs.joinToString(",").ifEmpty { ref.id }
        LeftOutWorker(this, HoldRule.SUSPENDED_WORKER, capacity, owner, suspendedUntilMillis)
    } else {
        LeftOutWorker(this, HoldRule.STALLED_WORKER, capacity, "${stalledRun ?: ref.id}", stalledUntilMillis)
    }
}
