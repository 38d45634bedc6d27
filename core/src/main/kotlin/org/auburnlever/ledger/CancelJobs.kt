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

/** A job that was interrupted and queued again did run before. */
private fun cancelledWhileQueued(job: JobRecord): Outcome =
    if (job.started) {
        Outcome.Failed(ErrorCode.CANCELLED, "cancelled after it was interrupted")
    } else {
        Outcome.Refused(ErrorCode.CANCELLED, "cancelled before it started")
    }

/** A cancelled job must not be queued again, whatever it is stopped for. */
private fun Transition.overrideStop(job: JobRecord) {
    val stop = checkNotNull(job.stop) { "job ${job.jobId} is stopping without a cause" }
    if (stop.cause != StopCause.TASK_FAILED) {
        putJob(job.copy(stop = stop.copy(cause = StopCause.CANCELLED, reason = "cancelled by its caller")))
    }
}
