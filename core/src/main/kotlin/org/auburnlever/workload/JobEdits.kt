package org.auburnlever.workload

/** The state with [job] in place of the job of the same id. */
internal fun WorkloadState.with(job: JobRecord): WorkloadState = copy(jobs = jobs.put(job.id, job))

/** The job with the step [id] changed. */
internal fun JobRecord.edit(id: StepId, change: (StepRecord) -> StepRecord): JobRecord {
    val steps = steps(id.occurrence).toMutableList()
    steps[id.step] = change(steps[id.step])
    return copy(occurrences = occurrences.put(id.occurrence, steps))
}

/** The step with the task at [index] changed. */
internal fun StepRecord.edit(index: Int, change: (TaskRecord) -> TaskRecord): StepRecord =
    copy(tasks = tasks.set(index, change(tasks[index])))
