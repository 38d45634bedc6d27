package org.auburnlever.workload.state

/** Returns the state with [job] stored under its id. */
internal fun WorkloadState.with(job: JobRecord): WorkloadState = copy(jobs = jobs.put(job.id, job))

/** Returns the job with [change] applied to the step [id]. */
internal fun JobRecord.edit(id: StepId, change: (StepRecord) -> StepRecord): JobRecord {
    val steps = steps(id.occurrence).toMutableList()
    steps[id.step] = change(steps[id.step])
    return copy(occurrences = occurrences.put(id.occurrence, steps))
}

/** Returns the step with [change] applied to the task at [index]. */
internal fun StepRecord.edit(index: Int, change: (TaskRecord) -> TaskRecord): StepRecord =
    copy(tasks = tasks.set(index, change(tasks[index])))
