package org.auburnlever.ledger

import org.auburnlever.model.WorkerName
import org.auburnlever.wire.JobPhase
import org.auburnlever.wire.TaskReport
import org.auburnlever.wire.TaskStatus

/** Limits each error text, since the journal that records it is limited only in its number of entries. */
private const val MAX_ERROR_CHARS = 500

internal fun Transition.tasksReported(command: LedgerCommand.TasksReported): LedgerReply {
    val worker = worker(command.worker)
    if (worker != null && !worker.lost && worker.epochMillis == command.epochMillis) {
        command.reports.forEach { taskReported(command.worker, it) }
    }
    return LedgerReply.Done
}

/** Applies [report]; ignores it if it is about another placement or worker, or not newer than the recorded state. */
private fun Transition.taskReported(worker: WorkerName, report: TaskReport) {
    val task = state.currentTask(worker, report)
    val reached = report.status.toTaskState()
    if (task != null && !task.state.isFinal && reached > task.state) {
        val error = report.error?.take(MAX_ERROR_CHARS) ?: "no error text".takeIf { reached == TaskState.FAILED }
        setTask(report.jobId, report.taskIndex, task.copy(state = reached, result = report.result, error = error))
        if (reached == TaskState.FAILED) recordEarlyFailure(report, checkNotNull(error))
        if (reached == TaskState.COMPLETED) recordWorkerSuccess(worker)
        advanceGang(report.jobId)
    }
}

/** Returns the task of [report] if its token is that of the current placement, which is on [worker]; else null. */
internal fun LedgerState.currentTask(worker: WorkerName, report: TaskReport): TaskRecord? {
    val job = job(report.jobId)?.takeIf { it.isActive && it.token == report.token }
    return job?.tasks?.getOrNull(report.taskIndex)?.takeIf { it.placement.worker == worker }
}

internal fun TaskStatus.toTaskState(): TaskState = when (this) {
    TaskStatus.RESERVED -> TaskState.RESERVED
    TaskStatus.RUNNING -> TaskState.RUNNING
    TaskStatus.COMPLETED -> TaskState.COMPLETED
    TaskStatus.FAILED -> TaskState.FAILED
    TaskStatus.STOPPED -> TaskState.STOPPED
}

/** Counts a failure as a failed start until the start is confirmed, since it may be the worker's fault. */
private fun Transition.recordEarlyFailure(report: TaskReport, error: String) {
    val job = checkNotNull(job(report.jobId))
    if (!job.confirmed && job.phase != JobPhase.STOPPING) recordStartFailure(job.jobId, report.taskIndex, error)
}

/**
 * Counts a failed start against the task's worker. If the job also failed on another worker, the job is at fault: then
 * neither this failure nor the job's earlier ones count against a worker.
 */
internal fun Transition.recordStartFailure(jobId: String, taskIndex: Int, error: String) {
    val job = checkNotNull(job(jobId))
    val name = job.tasks[taskIndex].placement.worker
    putJob(job.copy(failedOn = job.failedOn.add(name)))
    recordDecision(DecisionKind.START_FAILED, error, DecisionSubject(jobId, job.account, name))
    val elsewhere = job.failedOn.remove(name)
    elsewhere.mapNotNull { worker(it) }.forEach { putWorker(it.copy(failedStarts = it.failedStarts.remove(jobId))) }
    val worker = worker(name)
    if (worker != null && elsewhere.isEmpty()) {
        putWorker(worker.copy(failedStarts = worker.failedStarts.add(jobId)))
    }
}

/** Clears the failed starts of worker [name] after a success and ends its probation. */
internal fun Transition.recordWorkerSuccess(name: WorkerName) {
    val worker = worker(name)
    if (worker != null && (worker.failedStarts.isNotEmpty() || worker.suspension != null)) {
        val wasSuspended = worker.suspension != null
        putWorker(worker.copy(failedStarts = worker.failedStarts.clear(), suspension = null))
        if (wasSuspended) {
            recordWorkerChange(name, DecisionKind.WORKER_RESUMED, "a task succeeded after the suspension")
            requestReplanIfUnplaced()
        }
    }
}
