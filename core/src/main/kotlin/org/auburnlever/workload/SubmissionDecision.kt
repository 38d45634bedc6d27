package org.auburnlever.workload

import org.auburnlever.workload.state.WorkloadCommand

/**
 * How a submission is to be decided.
 *
 * @property command stores the job, or turns it away if it is not stored yet
 * @property retryAfterMillis when the caller should try again if the reply to [command] does not say so
 */
data class SubmissionDecision(val command: WorkloadCommand.AcceptJob, val retryAfterMillis: Long? = null)
