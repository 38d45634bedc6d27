package org.auburnlever.workload.state

/** Records the assignments that the current state still allows and returns their runs; stale ones are skipped. */
internal fun WorkloadState.assign(command: WorkloadCommand.Assign): AppliedWorkload {
    var state = this
    val accepted = command.assignments.filter { assignment ->
        val job = state.jobs[assignment.step.job]
        val allowed = job != null && job.allows(assignment)
        if (job != null && allowed) state = state.with(job.with(assignment, nowMillis))
        allowed
    }
    val runs = accepted.flatMap { assignment ->
        assignment.workers.keys.map { TaskRun(assignment.step.task(it), assignment.run) }
    }
    return AppliedWorkload(state, WorkloadReply.Assigned(runs))
}

/**
 * Returns whether all steps that the step of [assignment] depends on are done, and each of its tasks is waiting and has
 * no run with this or a higher number.
 */
private fun JobRecord.allows(assignment: Assignment): Boolean {
    val record = step(assignment.step)
    return phase == JobPhase.ACTIVE && record != null && ready(assignment.step) &&
        assignment.workers.keys.all { index ->
            val task = record.tasks.getOrNull(index)
            task != null && task.phase == TaskPhase.WAITING && task.run < assignment.run
        }
}

private fun JobRecord.with(assignment: Assignment, nowMillis: Long): JobRecord = edit(assignment.step) { record ->
    val tasks = assignment.workers.entries.fold(record.tasks) { tasks, (index, worker) ->
        val assigned = tasks[index].copy(
            phase = TaskPhase.ASSIGNED,
            run = assignment.run,
            worker = worker,
            assignedMillis = nowMillis,
        )
        tasks.set(index, assigned)
    }
    // A gang starts as a whole, so its earlier runs do not matter any more.
    val stillSlowed = record.slowed && !spec.steps[assignment.step.step].gang
    record.copy(tasks = tasks, slowed = assignment.slowed || stillSlowed)
}.copy(started = true)

/** Returns whether all steps that the step [id] depends on are done in the same occurrence. */
fun JobRecord.ready(id: StepId): Boolean {
    val steps = steps(id.occurrence)
    return spec.steps.getOrNull(id.step)?.dependsOn.orEmpty().all { steps.getOrNull(it)?.done ?: false }
}
