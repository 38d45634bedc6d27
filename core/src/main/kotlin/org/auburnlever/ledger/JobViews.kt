package org.auburnlever.ledger

import org.auburnlever.wire.JobPhase
import org.auburnlever.wire.JobView
import org.auburnlever.wire.Outcome

/** Returns [job] as its caller sees it, with durations up to the current ledger time. */
fun LedgerState.view(job: JobRecord): JobView = JobView(
    jobId = job.jobId,
    account = job.account,
    failureDomain = domain,
    phase = job.phase,
    attempt = job.attempt,
    outcome = job.outcome?.wireName(),
    reason = job.outcome?.message() ?: job.reason,
    results = if (job.outcome is Outcome.Completed) job.tasks.map { it.result.orEmpty() } else emptyList(),
    waitedMillis = job.waitedMillis + if (job.phase == JobPhase.QUEUED) timeMillis - job.queuedMillis else 0,
    ranMillis = job.ranMillis + job.currentRunMillis(timeMillis),
)

/** Returns the outcome's name on all external interfaces. */
internal fun Outcome.wireName(): String = when (this) {
    is Outcome.Completed -> "completed"
    is Outcome.Refused -> "refused"
    is Outcome.Failed -> "failed"
    is Outcome.Unknown -> "unknown"
}

private fun Outcome.message(): String? = when (this) {
    is Outcome.Completed -> null
    is Outcome.Refused -> message
    is Outcome.Failed -> message
    is Outcome.Unknown -> message
}
