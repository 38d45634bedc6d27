package org.auburnlever.workload.state

import org.auburnlever.workload.learning.MAX_MEASURED_RUNS
import org.auburnlever.workload.learning.measuredRun

/**
 * Records [ends] of the current run of each task and ignores ends of earlier runs.
 *
 * A run that was recorded as lost while its worker was unreachable still counts if it turns out to be done, unless its
 * task was started again in the meantime.
 */
internal fun WorkloadState.record(ends: List<RunEnd>): WorkloadState = ends.fold(this) { state, end ->
    val job = state.jobs[end.run.task.job]
    val task = job?.task(end.run.task)
    val current = task != null && task.run == end.run.run && job.accepts(end, task)
    if (job != null && current) state.withOpenStart(end).withEnd(job, end) else state
}

/** Records [end] in [job], and what a step that is done with it shows about durations. */
private fun WorkloadState.withEnd(job: JobRecord, end: RunEnd): WorkloadState {
    val id = end.run.task.stepId
    val measured = job.measuredRun(end, nowMillis)
    val ended = job.withEnd(end, nowMillis)
    val runs = (ended.step(id)?.measured.orEmpty() + listOfNotNull(measured)).take(MAX_MEASURED_RUNS)
    if (runs.isEmpty()) return with(ended.endedIfFinished(nowMillis))
    val done = ended.step(id)?.done ?: false
    val next = ended.edit(id) { it.copy(measured = if (done) emptyList() else runs) }.endedIfFinished(nowMillis)
    return if (done) copy(learned = learned.afterStep(job, id.step, runs, nowMillis)).with(next) else with(next)
}

private fun JobRecord.accepts(end: RunEnd, task: TaskRecord): Boolean = when (task.phase) {
    TaskPhase.ASSIGNED -> true
    TaskPhase.WAITING -> end.kind == EndKind.DONE && !spec.steps[end.run.task.step].longRunning
    TaskPhase.DONE -> false
}

private fun JobRecord.withEnd(end: RunEnd, nowMillis: Long): JobRecord {
    val id = end.run.task
    val spec = spec.steps[id.step]
    val edited = edit(id.stepId) { step ->
        when {
            // Long-running tasks start again however they end.
            end.kind != EndKind.DONE || spec.longRunning -> step.withTaskReleased(id.index, end, spec.gang, nowMillis)
            spec.gang -> step.withAllDone(end.run.run)
            else -> step.edit(id.index) { it.copy(phase = TaskPhase.DONE, worker = null) }
        }
    }
    val anyBegun = begun || !end.unseen
    return edited.copy(begun = anyBegun, started = anyBegun || edited.assigned().isNotEmpty())
}

/** Marks all members of a gang's [run] as done; the end of one member as done stands for the whole gang. */
private fun StepRecord.withAllDone(run: Int): StepRecord {
    val done = tasks.map { if (it.run == run) it.copy(phase = TaskPhase.DONE, worker = null) else it }
    return copy(tasks = tasks.clear().addAll(done))
}

/** Puts the task at [index] back to waiting; failed members of one gang run count as one failed run. */
private fun StepRecord.withTaskReleased(index: Int, end: RunEnd, gang: Boolean, nowMillis: Long): StepRecord {
    val failed = end.kind == EndKind.FAILED
    val freed = edit(index) { task ->
        task.copy(
            phase = TaskPhase.WAITING,
            worker = null,
            failures = task.failures + if (failed) 1 else 0,
            crashSuspicion = end.crash?.let { task.suspicionAfter(it) } ?: task.crashSuspicion,
            releasedMillis = nowMillis,
            checkpoint = end.checkpoint.ifEmpty { task.checkpoint },
        )
    }
    val counts = failed && end.run.run > newestFailedRun
    val counted = if (counts) freed.copy(failedRuns = failedRuns + 1, newestFailedRun = end.run.run) else freed
    return if (gang && end.checkpoint.isNotEmpty()) counted.withSharedCheckpoint(end.checkpoint) else counted
}

/** Sets [checkpoint] on all tasks, since the members of a gang resume from the same one. */
private fun StepRecord.withSharedCheckpoint(checkpoint: String): StepRecord =
    copy(tasks = tasks.clear().addAll(tasks.map { it.copy(checkpoint = checkpoint) }))

/** Ends the job if all its steps are done, or a step has used up its attempts or crashes its workers. */
private fun JobRecord.endedIfFinished(nowMillis: Long): JobRecord {
    val failed = occurrences.values.any { steps ->
        steps.withIndex().any { (index, step) -> spec.steps[index].attemptsExhausted(step, policy.maxAttempts) }
    }
    val done = (0 until spec.occurrenceCount).all { steps(it).all(StepRecord::done) }
    return when {
        phase != JobPhase.ACTIVE -> this
        done -> ended(JobPhase.SUCCEEDED, nowMillis)
        failed -> ended(JobPhase.FAILED, nowMillis)
        else -> this
    }
}

private fun StepSpec.attemptsExhausted(step: StepRecord, maxAttempts: Int): Boolean = when {
    step.done -> false
    step.tasks.any { it.phase != TaskPhase.DONE && it.crashesWorkers } -> true
    longRunning -> false
    gang -> step.failedRuns >= maxAttempts
    else -> step.tasks.any { it.phase != TaskPhase.DONE && it.failures >= maxAttempts }
}

/** Returns the job with its final [phase]. */
internal fun JobRecord.ended(phase: JobPhase, nowMillis: Long) = copy(phase = phase, endedMillis = nowMillis)
