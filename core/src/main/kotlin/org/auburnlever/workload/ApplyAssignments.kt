package org.auburnlever.workload

/** Assigns what is still up to date and names the runs. */
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

/** Whether every task of [assignment] waits, was not started under its number, and has all it depends on. */
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
    record.copy(tasks = tasks)
}.copy(started = true)

/** Whether all steps that [id] depends on are done in its occurrence. */
fun JobRecord.ready(id: StepId): Boolean {
    val steps = steps(id.occurrence)
    return spec.steps.getOrNull(id.step)?.dependsOn.orEmpty().all { steps.getOrNull(it)?.done ?: false }
}
