package org.auburnlever.workload

/** State and reply after a command. */
data class AppliedWorkload(val state: WorkloadState, val reply: WorkloadReply)
