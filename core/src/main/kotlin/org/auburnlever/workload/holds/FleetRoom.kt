package org.auburnlever.workload.holds

import org.auburnlever.workload.evacuation.forbidsStartsOn
import org.auburnlever.workload.planning.URGENT
import org.auburnlever.workload.planning.WaitingStep
import org.auburnlever.workload.planning.WorkPlan
import org.auburnlever.workload.planning.needOf
import org.auburnlever.workload.runs.LeaderState
import org.auburnlever.workload.runs.WorkerReport
import org.auburnlever.workload.runs.WorkerView
import org.auburnlever.workload.state.Resources
import org.auburnlever.workload.state.TaskPhase
import org.auburnlever.workload.state.WorkloadState

/**
 * The room of a worker after a plan.
 *
 * @property free what no task has allocated, whether or not it is kept; negative while more is in use than there is
 * @property holds what rules keep of it
 * @property absence why nothing can start there; null for workers that can be used
 */
internal class WorkerRoom(
    val id: String,
    val report: WorkerReport,
    val free: Resources,
    val holds: List<RoomHold>,
    val absence: Absence?,
) {
    /** Returns the holds that keep room from [step]. */
    fun holdsAgainst(step: WaitingStep): List<RoomHold> {
        if (holds.isEmpty()) return holds
        val owner = "${step.id}"
        val exempt = step.priority == URGENT || step.alone.isNotEmpty()
        return holds.filter { it.owner != owner && !(exempt && it.rule == HoldRule.URGENT_DEMAND) }
    }

    /** Returns how many tasks of [step] would fit beside what runs here and what is kept for others. */
    fun openTasks(step: WaitingStep): Int =
        tasksIn(holdsAgainst(step).fold(free) { left, hold -> left - hold.room }, step)

    /** Returns how many tasks of [step] would fit if nothing was kept. */
    fun freeTasks(step: WaitingStep): Int = tasksIn(free, step)

    /** Returns how many tasks of [step] would fit if nothing ran here. */
    fun possibleTasks(step: WaitingStep): Int = tasksIn(report.capacity, step)

    private fun tasksIn(room: Resources, step: WaitingStep): Int {
        val need = step.spec.reserved
        val limit = step.spec.maxTasksPerWorker
        val allowed = if (limit > 0) maxOf(0, limit - (step.countsOnWorkers[id] ?: 0)) else Int.MAX_VALUE
        val busy = step.alone.isNotEmpty() && free != report.capacity && room != report.capacity
        return if (busy || !room.holds(need)) 0 else minOf(room.count(need), allowed, step.tasks.size)
    }
}

/** The room of all known workers after a plan; those without a report are only counted. */
internal class FleetRoom private constructor(val workers: List<WorkerRoom>, val notReported: Int) {
    /** Returns the free accelerators that each rule keeps; what several rules keep counts for the first. */
    fun heldAccelerators(): Map<HoldRule, Int> {
        val held = HashMap<HoldRule, Int>()
        for (worker in workers.filter { it.absence == null }) {
            var left = maxOf(0, worker.free.accelerators)
            for (hold in worker.holds) {
                val accelerators = minOf(left, hold.room.accelerators)
                held.merge(hold.rule, accelerators, Int::plus)
                left -= accelerators
            }
        }
        return held
    }

    companion object {
        /** Computes the room that the assigned tasks of [state] and the placements of [plan] leave. */
        fun of(leader: LeaderState, state: WorkloadState, plan: WorkPlan, nowMillis: Long): FleetRoom {
            val used = HashMap<String, Resources>()
            for (job in state.jobs.values) {
                for ((id, task) in job.assigned()) {
                    task.worker?.let { used.merge(it.id, job.needOf(id), Resources::plus) }
                }
            }
            for (assignment in plan.assignments) {
                val job = state.jobs[assignment.step.job] ?: continue
                for ((index, worker) in assignment.workers) {
                    val id = assignment.step.task(index)
                    val waits = job.task(id)?.phase == TaskPhase.WAITING
                    if (waits) used.merge(worker.id, job.needOf(id), Resources::plus)
                }
            }
            val holds = plan.holds.groupBy { it.worker }
            val reportLimitMillis = leader.limits.reportLimitMillis
            val workers = leader.workers.values.mapNotNull { view ->
                view.report?.let { report ->
                    val id = view.ref.id
                    val free = report.capacity - (used[id] ?: Resources.NONE)
                    WorkerRoom(id, report, free, holds[id].orEmpty(), view.absence(state, nowMillis, reportLimitMillis))
                }
            }
            return FleetRoom(workers, leader.workers.size - workers.size)
        }
    }
}

private fun WorkerView.absence(state: WorkloadState, nowMillis: Long, reportLimitMillis: Long): Absence? = when {
    departed -> Absence.DEPARTED
    report?.draining == true -> Absence.DRAINING
    state.forbidsStartsOn(this) -> Absence.EVACUATED
    !reachable(nowMillis, reportLimitMillis) -> Absence.UNREACHABLE
    else -> null
}
