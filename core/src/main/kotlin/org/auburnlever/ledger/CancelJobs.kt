package org.auburnlever.ledger

import org.auburnlever.wire.ErrorCode
import org.auburnlever.wire.JobPhase
import org.auburnlever.wire.Outcome

internal fun Transition.cancelJob(command: LedgerCommand.CancelJob): LedgerReply {
    val job = job(command.jobId)?.takeIf { it.account == command.account }
        ?: return refused(ErrorCode.NOT_FOUND, "no job ${command.jobId}")
    when (job.phase) {
        JobPhase.DONE -> Unit
        JobPhase.QUEUED -> endJob(job, cancelledWhileQueued(job), "cancelled while it waited")
        JobPhase.STOPPING -> overrideStop(job)
        else -> beginStop(job.jobId, StopCause.CANCELLED, "cancelled by its caller")
    }
    return jobReply(command.jobId)
}

/** Returns the outcome of a job cancelled in the queue: failed if it ran before it was requeued, else refused. */
private fun cancelledWhileQueued(job: JobRecord): Outcome =
    if (job.started) {
        Outcome.Failed(ErrorCode.CANCELLED, "cancelled after it was interrupted")
    } else {
        Outcome.Refused(ErrorCode.CANCELLED, "cancelled before it started")
    }

/**
 * Makes the cancellation the cause of the stop, since a cancelled job must never be requeued. A failed task stays the
 * cause; such a job is not requeued either.
 */
private fun Transition.overrideStop(job: JobRecord) {
    val stop = checkNotNull(job.stop) { "job ${job.jobId} is stopping without a cause" }
    if (stop.cause != StopCause.TASK_FAILED) {
        putJob(job.copy(stop = stop.copy(cause = StopCause.CANCELLED, reason = "cancelled by its caller")))
    }
}
