package org.auburnlever.workload.preemption

import org.auburnlever.workload.holds.FleetRoom
import org.auburnlever.workload.holds.roomFor
import org.auburnlever.workload.planning.WaitingStep
import org.auburnlever.workload.planning.WorkPlan
import org.auburnlever.workload.planning.waitingSteps
import org.auburnlever.workload.runs.LeaderState
import org.auburnlever.workload.runs.StopReason
import org.auburnlever.workload.state.StepId
import org.auburnlever.workload.state.TaskRun
import org.auburnlever.workload.state.WorkloadState

/** Returns for whom [plan] stops each of its preempted runs, and what room that step had without the stops. */
internal fun LeaderState.preemptionReasons(
    state: WorkloadState,
    plan: WorkPlan,
    nowMillis: Long,
): Map<TaskRun, StopReason> {
    if (plan.preemptedFor.isEmpty()) return emptyMap()
    val fleet = FleetRoom.of(this, state, plan, nowMillis)
    val reasons = plan.preemptedFor.values.distinct().associateWith { id ->
        val room = state.waitingStep(id, plan, nowMillis)?.let { fleet.roomFor(it) }
        StopReason.Preempted(id, state.jobs[id.job]?.policy?.priority, room)
    }
    return plan.preemptedFor.mapValues { (_, step) -> reasons.getValue(step) }
}

/** Returns the step [id] with the tasks that [plan] leaves waiting. */
private fun WorkloadState.waitingStep(id: StepId, plan: WorkPlan, nowMillis: Long): WaitingStep? {
    val placed = plan.assignments.filter { it.step == id }.flatMap { it.workers.keys }.toSet()
    val parts = jobs[id.job]?.waitingSteps(nowMillis).orEmpty().filter { it.id == id }
    return parts.map { it.with(tasks = it.tasks - placed) }.firstOrNull { it.tasks.isNotEmpty() }
}
