package org.auburnlever.workload

/** A call that the desired state allows: its queue, the caller's account, and what follows the queue's prefix. */
data class AdmittedCall(val queue: Queue, val account: Account?, val relativePath: String)
