package org.auburnlever.workload

/**
 * The result of planning.
 *
 * @property assignments tasks to start
 * @property preemptedFor runs to stop for urgent jobs, each with the step that needs its resources
 */
data class WorkPlan(val assignments: List<Assignment>, val preemptedFor: Map<TaskRun, StepId>) {
    /** The runs to stop. */
    val preempted: List<TaskRun> get() = preemptedFor.keys.toList()
}

/**
 * Decides which waiting tasks start now on which of [workers], and which runs are preempted.
 *
 * [stopping] are runs that have been told to stop. Work that is not urgent leaves [urgentReserve] accelerators free
 * while more than half of the fleet is in use, so that a stream of small urgent jobs does not have to preempt it.
 */
fun planWork(
    jobs: Collection<JobRecord>,
    workers: Collection<WorkerView>,
    stopping: Set<TaskRun>,
    urgentReserve: Int,
    nowMillis: Long,
): WorkPlan {
    val fleet = FleetCapacity.of(workers, jobs)
    val preemptionPlanner = PreemptionPlanner(fleet, jobs, stopping, nowMillis)
    val planner = WorkPlanner(fleet, preemptionPlanner, stopping, fleet.workersToReserve(urgentReserve))
    jobs.asSequence()
        .filter { it.phase == JobPhase.ACTIVE }
        .flatMap { it.waitingSteps(nowMillis) }
        .sortedWith(waitingOrder(nowMillis))
        .forEach(planner::consider)
    return WorkPlan(planner.assignments, planner.preemptedFor)
}

/**
 * Orders steps by priority; within one, jobs that can still meet their objective come first, the earliest objective
 * first, then the late ones, the shortest first, since each late job is worth about the same small amount.
 */
private fun waitingOrder(nowMillis: Long): Comparator<WaitingStep> = compareBy(
    { it.priority },
    { it.isLate(nowMillis) },
    { if (it.isLate(nowMillis)) it.job.criticalPathMillis() else it.job.objectiveMillis() },
    { it.id.toString() },
)

private fun WaitingStep.isLate(nowMillis: Long): Boolean = nowMillis + spec.estimatedMillis > job.objectiveMillis()

/** Returns the steps of due occurrences with tasks to start; a gang only if all of its tasks are waiting. */
internal fun JobRecord.waitingSteps(nowMillis: Long): List<WaitingStep> =
    (0 until spec.occurrenceCount).filter { spec.dueMillis(it) <= nowMillis }.flatMap { occurrence ->
        val records = steps(occurrence)
        spec.steps.indices.mapNotNull { waitingStep(StepId(id, occurrence, it), records[it]) }
    }

private fun JobRecord.waitingStep(id: StepId, record: StepRecord): WaitingStep? {
    val stepSpec = spec.steps[id.step]
    val waiting = record.tasks.indices.filter { record.tasks[it].phase == TaskPhase.WAITING }
    val whole = !stepSpec.gang || waiting.size == record.tasks.size
    return if (waiting.isNotEmpty() && whole && ready(id)) WaitingStep(this, id, stepSpec, waiting) else null
}
