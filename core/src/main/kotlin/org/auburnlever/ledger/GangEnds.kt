package org.auburnlever.ledger

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.auburnlever.codec.Bytes
import org.auburnlever.wire.Answer
import org.auburnlever.wire.ErrorCode
import org.auburnlever.wire.JobPhase
import org.auburnlever.wire.Outcome

private const val MAX_LOST_REQUEUES = 3

/** A job is not placed again after this many failed starts, each with a task that failed or was late. */
private const val MAX_START_FAILURES = 5

internal fun List<TaskRecord>.toTaskList(): PersistentList<TaskRecord> = toPersistentList()

/** Ends or requeues a stopping job if no worker holds any of its tasks any more. */
internal fun Transition.endOrRequeueIfStopped(job: JobRecord) {
    if (job.tasks.all { it.state.isFinal }) endOrRequeue(job)
}

private fun Transition.endOrRequeue(job: JobRecord) {
    val stop = checkNotNull(job.stop) { "job ${job.jobId} is stopping without a cause" }
    val anyLost = job.tasks.any { it.state == TaskState.LOST }
    when {
        job.tasks.all { it.state == TaskState.COMPLETED } -> completeGang(job)
        stop.cause == StopCause.CANCELLED -> endJob(job, cancelled(job, anyLost), stop.reason)
        stop.cause == StopCause.TASK_FAILED ->
            endJob(job, Outcome.Failed(ErrorCode.TASK_FAILED, stop.reason), stop.reason)
        mayRequeue(job, stop.cause) -> requeue(job, stop)
        else -> endJob(job, interrupted(job, stop, anyLost), stop.reason)
    }
}

private fun mayRequeue(job: JobRecord, cause: StopCause): Boolean = job.mayRunAgain && when (cause) {
    StopCause.WORKER_LOST -> job.lostRequeues < MAX_LOST_REQUEUES
    StopCause.START_FAILED -> job.startFailures + 1 < MAX_START_FAILURES
    else -> cause == StopCause.PREEMPTED
}

private fun cancelled(job: JobRecord, anyLost: Boolean): Outcome = when {
    !job.started -> Outcome.Refused(ErrorCode.CANCELLED, "cancelled before it started")
    anyLost -> Outcome.Unknown(ErrorCode.CANCELLED, "cancelled; a worker was lost before it reported the end")
    else -> Outcome.Failed(ErrorCode.CANCELLED, "cancelled after it started")
}

/** Returns the outcome of an interrupted job that may not run again. */
private fun interrupted(job: JobRecord, stop: StopDecision, anyLost: Boolean): Outcome {
    val code = when (stop.cause) {
        StopCause.WORKER_LOST -> ErrorCode.WORKER_LOST
        StopCause.START_FAILED -> ErrorCode.TASK_FAILED
        else -> ErrorCode.CANCELLED
    }
    val unknownEnd = anyLost || stop.cause == StopCause.WORKER_LOST
    return when {
        !job.started -> Outcome.Refused(code, stop.reason)
        unknownEnd && !job.spec.repeatable -> Outcome.Unknown(code, stop.reason)
        else -> Outcome.Failed(code, stop.reason)
    }
}

private fun Transition.requeue(job: JobRecord, stop: StopDecision) {
    val requeued = job.copy(
        guarantee = null,
        tasks = persistentListOf(),
        stop = null,
        lostRequeues = job.lostRequeues + if (stop.cause == StopCause.WORKER_LOST) 1 else 0,
        startFailures = job.startFailures + if (stop.cause == StopCause.START_FAILED) 1 else 0,
        queuedMillis = nowMillis,
        ranMillis = job.ranMillis + job.currentRunMillis(nowMillis),
        runningMillis = null,
        placedMillis = null,
    )
    releaseGuarantee(job)
    moveJob(requeued, JobPhase.QUEUED, DecisionKind.REQUEUED, stop.reason)
}

internal fun Transition.completeGang(job: JobRecord) {
    val results = job.tasks.joinToString(separator = "\n") { it.result.orEmpty() }
    val size = results.encodeToByteArray().size
    updateEstimateFactor(job)
    // The results stay in the task records; the outcome carries only their size, so that they are stored once.
    endJob(job, Outcome.Completed(Answer("text/plain", size, "", null as Bytes?)), "all tasks completed")
}

internal fun Transition.endJob(job: JobRecord, outcome: Outcome, reason: String) {
    val waited = if (job.phase == JobPhase.QUEUED) nowMillis - job.queuedMillis else 0
    val ended = job.copy(
        spec = job.spec.copy(payload = ""),
        outcome = outcome,
        ranMillis = job.ranMillis + job.currentRunMillis(nowMillis),
        waitedMillis = job.waitedMillis + waited,
        runningMillis = null,
        stop = null,
    )
    releaseGuarantee(job)
    moveJob(ended, JobPhase.DONE, DecisionKind.DONE, reason)
    val jobs = state.jobs
    state = state.copy(
        jobs = jobs.copy(
            resultBytes = jobs.resultBytes + ended.resultBytes(),
            payloadChars = jobs.payloadChars - job.spec.payload.length,
        ),
    )
    events += LedgerEvent.JobEnded(job.jobId, job.account, outcome)
}

/** Returns how long the whole gang has been running; zero while it is not. */
internal fun JobRecord.currentRunMillis(nowMillis: Long): Long = runningMillis?.let { nowMillis - it } ?: 0
