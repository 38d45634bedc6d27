package org.auburnlever.workload.state

/**
 * A client call that passed admission.
 *
 * @property account the caller's account; null for an unknown key at a public queue
 * @property relativePath the path after the queue's prefix: a job id, or empty for the queue itself
 */
data class AdmittedCall(val queue: Queue, val account: Account?, val relativePath: String)
