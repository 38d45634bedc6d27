package org.auburnlever.workload

import com.github.michaelbull.result.mapBoth
import kotlinx.collections.immutable.toPersistentMap

/** State and reply after a command. */
data class AppliedWorkload(val state: WorkloadState, val reply: WorkloadReply)

/** Applies [command] at [nowMillis], the proposing leader's time; every replica gets the same result. */
fun WorkloadState.apply(command: WorkloadCommand, nowMillis: Long): AppliedWorkload {
    val current = copy(nowMillis = maxOf(this.nowMillis, nowMillis))
    return when (command) {
        is WorkloadCommand.ChangeCatalog -> current.change(command)
        is WorkloadCommand.AcceptJob -> current.accept(command)
        is WorkloadCommand.CancelJob -> current.cancel(command)
        is WorkloadCommand.Assign -> current.assign(command)
        is WorkloadCommand.RecordEnds -> AppliedWorkload(current.record(command.ends), WorkloadReply.Done)
        is WorkloadCommand.ForgetJobs -> AppliedWorkload(current.forget(command), WorkloadReply.Done)
    }
}

private fun WorkloadState.change(command: WorkloadCommand.ChangeCatalog): AppliedWorkload {
    val newer = command.catalog.version > (catalog?.version ?: Long.MIN_VALUE)
    val next = if (newer) copy(catalog = command.catalog, document = command.document) else this
    return AppliedWorkload(next, WorkloadReply.Done)
}

private fun WorkloadState.accept(command: WorkloadCommand.AcceptJob): AppliedWorkload = admit(command.address).mapBoth(
    { admitted ->
        val known = admitted.rest in jobs
        val next = if (known) this else with(newJob(admitted, command.spec))
        AppliedWorkload(next, WorkloadReply.Done)
    },
    { AppliedWorkload(this, WorkloadReply.NotAdmitted(it)) },
)

private fun WorkloadState.newJob(admitted: Admitted, spec: JobSpec) = JobRecord(
    id = admitted.rest,
    queue = admitted.queue.name,
    service = admitted.queue.service,
    account = admitted.account?.name,
    policy = admitted.queue.policy,
    spec = spec,
    acceptedMillis = nowMillis,
)

private fun WorkloadState.cancel(command: WorkloadCommand.CancelJob): AppliedWorkload = admit(command.address).mapBoth(
    { admitted ->
        val job = jobOf(admitted)
        when (job?.phase) {
            null -> AppliedWorkload(this, WorkloadReply.NotAdmitted(Inadmissible.NO_JOB))
            JobPhase.ACTIVE -> AppliedWorkload(with(job.ended(JobPhase.CANCELED, nowMillis)), WorkloadReply.Done)
            else -> AppliedWorkload(this, WorkloadReply.Done)
        }
    },
    { AppliedWorkload(this, WorkloadReply.NotAdmitted(it)) },
)

private fun WorkloadState.assign(command: WorkloadCommand.Assign): AppliedWorkload {
    var state = this
    val taken = command.assignments.filter { assignment ->
        val job = state.jobs[assignment.step.job]
        val allowed = job != null && job.allows(assignment)
        if (job != null && allowed) state = state.with(job.with(assignment, nowMillis))
        allowed
    }
    val runs = taken.flatMap { taken -> taken.workers.keys.map { TaskRun(taken.step.task(it), taken.run) } }
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

private fun WorkloadState.forget(command: WorkloadCommand.ForgetJobs): WorkloadState {
    val kept = jobs.filterValues {
        it.phase == JobPhase.ACTIVE || it.endedMillis >= command.endedBeforeMillis || it.assigned().isNotEmpty()
    }
    return copy(jobs = kept.toPersistentMap())
}

private fun WorkloadState.record(ends: List<RunEnd>): WorkloadState = ends.fold(this) { state, end ->
    val job = state.jobs[end.run.task.job]
    val task = job?.task(end.run.task)
    val current = task != null && task.phase == TaskPhase.ASSIGNED && task.run == end.run.run
    if (job != null && current) state.with(job.after(end).settled(state.nowMillis)) else state
}

private fun JobRecord.after(end: RunEnd): JobRecord {
    val id = end.run.task
    val spec = spec.steps[id.step]
    return edit(id.stepId) { step ->
        when {
            end.kind == EndKind.DONE && spec.gang -> step.allDone(end.run.run)
            end.kind == EndKind.DONE && !spec.longRunning ->
                step.edit(id.index) { it.copy(phase = TaskPhase.DONE, worker = null) }
            else -> step.freed(id.index, end, spec.gang)
        }
    }
}

/** One end as done stands for all members of a gang's [run]. */
private fun StepRecord.allDone(run: Int): StepRecord {
    val done = tasks.map { if (it.run == run) it.copy(phase = TaskPhase.DONE, worker = null) else it }
    return copy(tasks = tasks.clear().addAll(done))
}

private fun StepRecord.freed(index: Int, end: RunEnd, gang: Boolean): StepRecord {
    val failed = end.kind == EndKind.FAILED
    val freed = edit(index) { task ->
        task.copy(
            phase = TaskPhase.WAITING,
            worker = null,
            failures = task.failures + if (failed) 1 else 0,
            checkpoint = end.checkpoint.ifEmpty { task.checkpoint },
        )
    }
    val counts = failed && end.run.run > newestFailedRun
    val counted = if (counts) freed.copy(failedRuns = failedRuns + 1, newestFailedRun = end.run.run) else freed
    return if (gang && end.checkpoint.isNotEmpty()) counted.sharing(end.checkpoint) else counted
}

/** All members of a gang resume from the same checkpoint. */
private fun StepRecord.sharing(checkpoint: String): StepRecord =
    copy(tasks = tasks.clear().addAll(tasks.map { it.copy(checkpoint = checkpoint) }))

/** Ends the job if it is done or has used up its attempts. */
private fun JobRecord.settled(nowMillis: Long): JobRecord {
    val failed = occurrences.values.any { steps ->
        steps.withIndex().any { (index, step) -> spec.steps[index].exhausted(step, policy.maxAttempts) }
    }
    val done = (0 until spec.occurrenceCount).all { steps(it).all(StepRecord::done) }
    return when {
        phase != JobPhase.ACTIVE -> this
        done -> ended(JobPhase.SUCCEEDED, nowMillis)
        failed -> ended(JobPhase.FAILED, nowMillis)
        else -> this
    }
}

private fun StepSpec.exhausted(step: StepRecord, maxAttempts: Int): Boolean = when {
    longRunning || step.done -> false
    gang -> step.failedRuns >= maxAttempts
    else -> step.tasks.any { it.phase != TaskPhase.DONE && it.failures >= maxAttempts }
}

private fun JobRecord.ended(phase: JobPhase, nowMillis: Long) = copy(phase = phase, endedMillis = nowMillis)

private fun WorkloadState.with(job: JobRecord): WorkloadState = copy(jobs = jobs.put(job.id, job))

private fun JobRecord.edit(id: StepId, change: (StepRecord) -> StepRecord): JobRecord {
    val steps = steps(id.occurrence).toMutableList()
    steps[id.step] = change(steps[id.step])
    return copy(occurrences = occurrences.put(id.occurrence, steps))
}

private fun StepRecord.edit(index: Int, change: (TaskRecord) -> TaskRecord): StepRecord =
    copy(tasks = tasks.set(index, change(tasks[index])))
