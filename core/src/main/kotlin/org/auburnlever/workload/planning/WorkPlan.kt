package org.auburnlever.workload.planning

import org.auburnlever.workload.SchedulingFeature
import org.auburnlever.workload.holds.HoldOverride
import org.auburnlever.workload.holds.HoldRule
import org.auburnlever.workload.holds.RoomHold
import org.auburnlever.workload.holds.hold
import org.auburnlever.workload.placement.ScarcePlacement
import org.auburnlever.workload.preemption.CallerWorth
import org.auburnlever.workload.preemption.JointPreemption
import org.auburnlever.workload.preemption.KeptRoom
import org.auburnlever.workload.preemption.PreemptionOutcome
import org.auburnlever.workload.preemption.StopLosses
import org.auburnlever.workload.preemption.UrgentPlanning
import org.auburnlever.workload.state.Assignment
import org.auburnlever.workload.state.JobPhase
import org.auburnlever.workload.state.JobRecord
import org.auburnlever.workload.state.StepId
import org.auburnlever.workload.state.StepRecord
import org.auburnlever.workload.state.TaskPhase
import org.auburnlever.workload.state.TaskRun
import org.auburnlever.workload.state.ready
import org.auburnlever.workload.state.waitsForIdleWorker
import org.auburnlever.workload.state.with

/**
 * The result of planning.
 *
 * @property assignments tasks to start
 * @property preemptedFor runs to stop for urgent jobs, each with the step that needs its resources
 * @property preemption what the stops discard, and those that were not permitted; empty without the feature
 * @property holds free room that the plan keeps from the steps that it leaves waiting
 * @property overridden steps that got room in spite of holds, with the rules that kept it
 */
data class WorkPlan(
    val assignments: List<Assignment>,
    val preemptedFor: Map<TaskRun, StepId>,
    val preemption: PreemptionOutcome = PreemptionOutcome(),
    val holds: List<RoomHold> = emptyList(),
    val overridden: Map<StepId, Set<HoldRule>> = emptyMap(),
) {
    /** The runs to stop. */
    val preempted: List<TaskRun> get() = preemptedFor.keys.toList()
}

/** Decides which waiting tasks start now on which worker, and which runs are preempted for urgent ones. */
fun planWork(input: PlanningInput, nowMillis: Long): WorkPlan {
    val fleet = FleetCapacity.of(input.workers, input.jobs, nowMillis)
    val guaranteed = guaranteedJobs(input.jobs, input.guarantees)
    val rules = PreemptionRules(input.limits, nowMillis, input.durations)
    val joint = SchedulingFeature.PREEMPTION_BUDGET in input.features
    val worth = CallerWorth(input.jobs, input.durations)
    val units = PreemptionUnits(input, guaranteed, nowMillis, if (joint) StopLosses(worth, nowMillis) else null)
    val preemptionPlanner = PreemptionPlanner(fleet, units, sharesFreedRoom = joint)
    val jointPreemption = JointPreemption(preemptionPlanner, rules, worth, input.preemption.budget).takeIf { joint }
    val reservedForUrgent = if (joint) emptySet() else fleet.workersToReserve(input.urgentReserve)
    val keptRoom = if (joint) KeptRoom.of(fleet, input, nowMillis) else KeptRoom.NONE
    val keptForUrgent = (reservedForUrgent + keptRoom.workers).mapNotNull { fleet.worker(it) }
        .map { it.hold(HoldRule.URGENT_DEMAND, "urgent jobs", nowMillis + HoldRule.URGENT_DEMAND.limitMillis) }
    val planner = WorkPlanner(
        fleet,
        preemptionPlanner,
        rules,
        reservedForUrgent,
        urgentPlanning = jointPreemption?.let { UrgentPlanning(keptRoom, it) },
        scarcity = ScarcePlacement.of(fleet, input, nowMillis),
    )
    val steps = input.orderedSteps(input.jobs, guaranteed, nowMillis)
    steps.forEach(planner::consider)
    planner.preemptForClaims()
    val holds = input.leftOut.map { it.hold() } + fleet.holds + keptForUrgent + planner.holds
    val override = HoldOverride(input, steps, planner.assignments, holds, nowMillis)
    return WorkPlan(
        planner.assignments + override.assign(),
        planner.preemptedFor,
        jointPreemption?.outcome ?: PreemptionOutcome(),
        holds,
        override.overridden,
    )
}

/** Returns the waiting steps of [jobs] in the order in which they are placed. */
internal fun PlanningInput.orderedSteps(
    jobs: Collection<JobRecord>,
    guaranteed: Set<String>,
    nowMillis: Long,
): List<WaitingStep> {
    val steps = jobs.filter { it.phase == JobPhase.ACTIVE }.flatMap { it.waitingSteps(nowMillis, it.id in guaranteed) }
    val standings = HashMap<WaitingStep, JobStanding>()
    val standing = { step: WaitingStep -> standings.getOrPut(step) { step.standing(nowMillis, durations) } }
    val rules = PreemptionRules(limits, nowMillis, durations)
    val byObjective = steps.sortedWith(waitingOrder(standing, rank = { 0 }, rules))
    val ranks = accountRanks(byObjective)
    if (ranks.values.none { it > 0 }) return byObjective
    return byObjective.sortedWith(waitingOrder(standing, rank = { ranks.getValue(it) }, rules))
}

/**
 * Orders the waiting steps.
 *
 * Load pattern: more work waits than the fleet can hold, after a burst or after a time without a leader. Urgent jobs
 * come first, those within a guarantee before the others. Among jobs of one priority, those that can still meet their
 * objective come first, the earliest objective first. Then come the late ones, the shortest first, since each late
 * answer is worth about the same, and last those whose answer is of no use any more, in the order of their acceptance.
 * Among jobs of one priority and standing, those with the lowest [rank] of their account come first.
 *
 * First steps that must take room now to begin within their guarantee come before all others, the oldest first. A later
 * job with an earlier objective would otherwise take the room that was freed for them, and a second stop is too late.
 */
private fun waitingOrder(
    standing: (WaitingStep) -> JobStanding,
    rank: (WaitingStep) -> Int,
    rules: PreemptionRules,
): Comparator<WaitingStep> = compareBy(
    { it.priority != URGENT },
    { step ->
        val due = step.spec.dependsOn.isEmpty() && rules.reclaimIsDue(step)
        if (due) step.job.beginMillis(step.id.occurrence) else Long.MAX_VALUE
    },
    { standing(it) == JobStanding.OVERDUE },
    { it.priority },
    { !it.guaranteed },
    { standing(it) },
    { rank(it) },
    { step ->
        when (standing(step)) {
            JobStanding.ON_TIME -> rules.durations.objectiveMillis(step.job, step.id.occurrence)
            JobStanding.LATE -> rules.durations.criticalPathMillis(step.job)
            JobStanding.OVERDUE -> step.job.beginMillis(step.id.occurrence)
        }
    },
    { it.id.toString() },
)

/** Returns the steps of due occurrences with tasks to start; a gang only if all of its tasks are waiting. */
internal fun JobRecord.waitingSteps(nowMillis: Long, guaranteed: Boolean = false): List<WaitingStep> =
    (0 until spec.occurrenceCount).filter { spec.dueMillis(it) <= nowMillis }.flatMap { occurrence ->
        val records = steps(occurrence)
        spec.steps.indices.flatMap { waitingTasks(StepId(id, occurrence, it), records[it], guaranteed, nowMillis) }
    }

/** Returns the waiting tasks of a step; those that run alone are apart, unless they belong to a gang. */
private fun JobRecord.waitingTasks(
    id: StepId,
    record: StepRecord,
    guaranteed: Boolean,
    nowMillis: Long,
): List<WaitingStep> {
    val stepSpec = spec.steps[id.step]
    val waiting = record.tasks.indices.filter { record.tasks[it].phase == TaskPhase.WAITING }
    val whole = !stepSpec.gang || waiting.size == record.tasks.size
    val startable = whole && ready(id)
    val suspected = waiting.filter { stepSpec.waitsForIdleWorker(record.tasks[it], nowMillis) }
    val alone = if (startable) suspected.toSet() else emptySet()
    val all = WaitingStep(this, id, stepSpec, waiting, guaranteed, alone)
    val parts = when {
        !startable -> emptyList()
        alone.isEmpty() || stepSpec.gang -> listOf(all)
        else -> listOf(all.with(tasks = waiting - alone, alone = emptySet()), all.with(tasks = alone.toList()))
    }
    return parts.filter { it.tasks.isNotEmpty() }
}
