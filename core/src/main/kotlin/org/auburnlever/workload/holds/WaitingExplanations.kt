package org.auburnlever.workload.holds

import org.auburnlever.workload.planning.WaitingStep
import org.auburnlever.workload.planning.WorkPlan
import org.auburnlever.workload.planning.waitingSteps
import org.auburnlever.workload.runs.LeaderState
import org.auburnlever.workload.runs.viewOf
import org.auburnlever.workload.state.JobPhase
import org.auburnlever.workload.state.JobRecord
import org.auburnlever.workload.state.StepId
import org.auburnlever.workload.state.TaskId
import org.auburnlever.workload.state.TaskPhase
import org.auburnlever.workload.state.TaskRecord
import org.auburnlever.workload.state.TaskRun
import org.auburnlever.workload.state.WorkloadState
import org.auburnlever.workload.state.ready

/**
 * Explains why tasks of the active jobs of a state wait.
 *
 * Each job with a waiting task has an answer, for the steps whose turn has come, or else for its next step.
 *
 * @property plan the newest plan; null if it is too old to explain anything
 */
internal class WaitingExplanations(
    private val leader: LeaderState,
    private val state: WorkloadState,
    private val plan: WorkPlan?,
    private val lastPlanMillis: Long?,
    private val nowMillis: Long,
) {
    /** The room after the plan. */
    val fleet = FleetRoom.of(leader, state, plan ?: NO_PLAN, nowMillis)
    private val roomReasons = RoomReasons(fleet)
    private val planned = plan?.assignments.orEmpty().associate { it.step to it.workers.keys }

    /** Returns the explanations of the steps that wait at least since [sinceMillis]. */
    fun since(sinceMillis: Long): List<WaitingExplanation> =
        state.jobs.values.filter { it.phase == JobPhase.ACTIVE }.flatMap { explain(it, sinceMillis) }

    private fun explain(job: JobRecord, sinceMillis: Long): List<WaitingExplanation> {
        val waiting = job.waitingSteps(nowMillis)
        val ready = waiting.map { it to job.waitingSinceMillis(it.id, it.tasks) }
            .filter { (_, waitsSinceMillis) -> waitsSinceMillis <= sinceMillis }
            .map { (step, since) -> WaitingExplanation(step.id, step.tasks.size, since, reasonOf(step)) }
        val assigned = job.assigned().groupBy({ (id, _) -> id.stepId }).mapNotNull { (id, tasks) ->
            job.heldUp(id, tasks)
        }
        val later = if (waiting.isEmpty() && assigned.isEmpty()) job.laterStep() ?: job.laterOccurrence() else null
        return ready + (assigned + listOfNotNull(later)).filter { it.sinceMillis <= sinceMillis }
    }

    private fun reasonOf(step: WaitingStep): WaitingReason {
        val reason = when {
            plan == null -> WaitingReason.NotPlanned(lastPlanMillis)
            planned[step.id]?.containsAll(step.tasks) == true -> null
            else -> roomReasons.reasonOf(step)
        }
        return reason ?: WaitingReason.Starting(step.nextRun - 1)
    }

    /** Returns why the assigned [tasks] of the step [id] make no progress; null if nothing is known to hold them up. */
    private fun JobRecord.heldUp(id: StepId, tasks: List<Pair<TaskId, TaskRecord>>): WaitingExplanation? {
        val members = step(id)?.tasks.orEmpty()
        val waiting = members.indices.filter { members[it].phase == TaskPhase.WAITING }
        return if (spec.steps[id.step].gang && waiting.isNotEmpty()) {
            val reason = WaitingReason.GangEnding(leased(tasks))
            WaitingExplanation(id, waiting.size, waitingSinceMillis(id, waiting), reason)
        } else {
            silent(id, tasks.filter { (_, task) -> task.onSilentWorker() })
        }
    }

    private fun silent(id: StepId, tasks: List<Pair<TaskId, TaskRecord>>): WaitingExplanation? {
        val sinceMillis = tasks.minOfOrNull { (_, task) ->
            val contactMillis = task.worker?.let { leader.viewOf(it) }?.lastContactMillis ?: 0
            maxOf(contactMillis, task.assignedMillis, leader.electedMillis)
        }
        return sinceMillis?.let { WaitingExplanation(id, tasks.size, it, WaitingReason.WorkerSilent(leased(tasks))) }
    }

    private fun TaskRecord.onSilentWorker(): Boolean {
        val view = worker?.let { leader.viewOf(it) } ?: return true
        val silentForMillis = nowMillis - view.lastContactMillis
        return view.failedCalls > 0 || view.failedPolls > 0 || silentForMillis > leader.limits.reportLimitMillis
    }

    private fun leased(tasks: List<Pair<TaskId, TaskRecord>>): List<LeasedRun> = tasks.mapNotNull { (id, task) ->
        task.worker?.let { LeasedRun(TaskRun(id, task.run), it.id, leader.viewOf(it)?.leaseEndMillis ?: 0) }
    }

    private fun JobRecord.laterStep(): WaitingExplanation? {
        val due = (0 until spec.occurrenceCount).filter { spec.dueMillis(it) <= nowMillis }
        val ids = due.asSequence().flatMap { occurrence -> spec.steps.indices.map { StepId(id, occurrence, it) } }
        val next = ids.firstOrNull { step -> !ready(step) && step(step)?.done == false } ?: return null
        val earlier = spec.steps[next.step].dependsOn.filter { step(next.copy(step = it))?.done == false }
        val reason = WaitingReason.EarlierSteps(earlier)
        return WaitingExplanation(next, spec.steps[next.step].taskCount, beginMillis(next.occurrence), reason)
    }

    private fun JobRecord.laterOccurrence(): WaitingExplanation? =
        (0 until spec.occurrenceCount).firstOrNull { spec.dueMillis(it) > nowMillis }?.let { occurrence ->
            val reason = WaitingReason.NotDue(spec.dueMillis(occurrence))
            WaitingExplanation(StepId(id, occurrence, 0), spec.steps.first().taskCount, acceptedMillis, reason)
        }

    private companion object {
        val NO_PLAN = WorkPlan(assignments = emptyList(), preemptedFor = emptyMap())
    }
}

/** Returns the Unix time since which the tasks at [indices] of the step [id] could have run. */
private fun JobRecord.waitingSinceMillis(id: StepId, indices: List<Int>): Long {
    val steps = occurrences[id.occurrence] ?: return beginMillis(id.occurrence)
    val earlierEndMillis = spec.steps[id.step].dependsOn.flatMap { steps[it].tasks }.maxOfOrNull { it.releasedMillis }
    val releasedMillis = indices.minOfOrNull { steps[id.step].tasks[it].releasedMillis }
    return maxOf(beginMillis(id.occurrence), earlierEndMillis ?: 0, releasedMillis ?: 0)
}
