package org.auburnlever.workload.state

/** The state after a command and the reply to its proposer. */
data class AppliedWorkload(val state: WorkloadState, val reply: WorkloadReply)
