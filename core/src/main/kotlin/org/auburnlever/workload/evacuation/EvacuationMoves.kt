package org.auburnlever.workload.evacuation

import org.auburnlever.workload.planning.PlanningInput
import org.auburnlever.workload.planning.WorkPlan
import org.auburnlever.workload.planning.remainingMillis
import org.auburnlever.workload.state.JobPhase
import org.auburnlever.workload.state.JobRecord
import org.auburnlever.workload.state.StepSpec
import org.auburnlever.workload.state.TaskId
import org.auburnlever.workload.state.TaskPhase
import org.auburnlever.workload.state.TaskRecord
import org.auburnlever.workload.state.TaskRun
import org.auburnlever.workload.state.runsAlone

/** What a move costs the caller, in the order in which moves are made. */
internal enum class MoveKind {
    /** Work with checkpoints: a stop saves its progress, so only the restart is lost. */
    CHECKPOINTED,

    /** Long-running tasks: they have no progress to lose, but their users are without them for the restart. */
    LONG_RUNNING,

    /** Other work starts from the beginning. */
    REPEATED,
}

/** Runs to stop together, so that they start again outside the evacuated failure domain. */
internal data class EvacuationMove(val runs: List<TaskRun>, val kind: MoveKind)

/** Running tasks that can only be moved together. */
internal class RunningUnit(
    val job: JobRecord,
    val tasks: List<Pair<TaskId, TaskRecord>>,
    val remainingMillis: Long,
) {
    val stepId = tasks.first().first.stepId
    val step = job.spec.steps[stepId.step]
    val runs = tasks.map { (id, task) -> TaskRun(id, task.run) }
    val kind = when {
        step.longRunning -> MoveKind.LONG_RUNNING
        step.checkpointing -> MoveKind.CHECKPOINTED
        else -> MoveKind.REPEATED
    }
}

/**
 * Decides which running work of evacuated failure domains is moved now, and in what order.
 *
 * Load pattern: a failure domain with a sixth of the fleet is evacuated under load. If all its work were stopped at
 * once, it would wait behind the load and lose its progress. Work that ends soon therefore runs on, as does work for
 * which a move would take longer than its remaining time, and work that would lose its only rack. The rest is moved in
 * the order of [MoveKind] and of the cost, and only into room that is free after [plan] and that no other waiting work
 * of the same or a higher priority needs.
 *
 * @param input what [plan] was made from; its workers are outside the evacuated domains
 * @param evacuated ids of the workers to move work away from
 */
internal class EvacuationMoves(
    private val input: PlanningInput,
    private val plan: WorkPlan,
    private val evacuated: Set<String>,
    private val nowMillis: Long,
) {
    private val room by lazy(LazyThreadSafetyMode.NONE) { FreeRoom(input, plan, nowMillis) }

    /** Returns the moves to start now. */
    fun find(): List<EvacuationMove> {
        val (moving, settled) = units().partition { unit -> unit.runs.any { it in input.stopping } }
        return settled.filter { unit -> unit.runs.none { it in input.protectedRuns } && unit.worthMoving() }
            .sortedWith(compareBy({ it.kind }, { it.cost() }, { it.runs.first().toString() }))
            .distinctBy { if (it.step.longRunning) it.stepId else it.runs.first() }
            .asSequence()
            .filter { room.take(it) }
            .take(maxOf(0, MAX_MOVES_AT_ONCE - moving.size))
            .map { EvacuationMove(it.runs, it.kind) }
            .toList()
    }

    /** Returns the running work of the evacuated workers; tasks that depend on each other's places are one unit. */
    private fun units(): List<RunningUnit> = input.jobs.filter { it.phase == JobPhase.ACTIVE }.flatMap { job ->
        val assigned = job.assigned()
        if (assigned.none { (_, task) -> task.isEvacuated() }) return@flatMap emptyList()
        val (together, single) = assigned.partition { (id, _) -> job.spec.steps[id.step].movesTogether() }
        (together.groupBy { (id, _) -> id.stepId }.values + single.map { listOf(it) })
            .filter { tasks -> tasks.any { (_, task) -> task.isEvacuated() } }
            .map { tasks -> RunningUnit(job, tasks, tasks.maxOf { (id, task) -> job.remaining(id, task) }) }
    }

    private fun StepSpec.movesTogether() = gang || rackSensitive && !longRunning

    private fun TaskRecord.isEvacuated() = worker?.id in evacuated

    private fun JobRecord.remaining(id: TaskId, task: TaskRecord): Long =
        remainingMillis(id, task, input.progress[TaskRun(id, task.run)], nowMillis)

    private fun RunningUnit.worthMoving(): Boolean = when {
        tasks.any { (_, task) -> task.runsAlone } -> false
        step.longRunning -> tasks.size == 1 && othersAtWork()
        else -> remainingMillis > ENDS_SOON_MILLIS && lostMillis() + RESTART_MILLIS <= remainingMillis
    }

    /** Returns whether all tasks of a long-running step have been at work for a while, so that one may be away. */
    private fun RunningUnit.othersAtWork(): Boolean {
        val record = job.step(stepId) ?: return false
        return record.tasks.withIndex().all { (index, task) ->
            task.phase == TaskPhase.ASSIGNED && nowMillis - task.assignedMillis >= SETTLED_MILLIS &&
                TaskRun(stepId.task(index), task.run) !in input.stopping
        }
    }

    private fun RunningUnit.lostMillis(): Long =
        if (kind == MoveKind.REPEATED) tasks.maxOf { (_, task) -> nowMillis - task.assignedMillis } else 0

    private fun RunningUnit.cost(): Long = (lostMillis() + RESTART_MILLIS) * tasks.size * step.reserved.weightMilliCores

    private companion object {
        /** Time that a stop, the record of its end, a plan and the next start take together. */
        const val RESTART_MILLIS = 2_000L

        /** Work that ends within this time is done sooner where it runs, even with the error of the forecast. */
        const val ENDS_SOON_MILLIS = 3_000L

        /** Time after its start from which a long-running task counts as at work. */
        const val SETTLED_MILLIS = 6_500L

        /** Bounds what is lost if the room that a move counts on is taken by work that arrives at the same time. */
        const val MAX_MOVES_AT_ONCE = 8
    }
}
