package org.auburnlever.workload.runs

import org.auburnlever.workload.state.WorkerRef

/**
 * Why no run of a worker can be active any more.
 *
 * Only a sign that excludes a running process is one. Others don't count, as a worker that is cut off shows them too
 * and works on until its lease expires: an announced shutdown, whose acknowledgement may be lost; a call that times
 * out; a connection that is closed, reset or refused; reports that don't come. Nor does a report of a later
 * incarnation, which anyone can write.
 */
internal enum class WorkerLoss {
    /** Another incarnation has answered under the worker's id since. */
    RESTARTED,

    /** Another worker has answered at its address, twice in a row. */
    REPLACED,

    /** It did not list its runs for as long as its lease lasts. */
    LEASE_EXPIRED,
}

/** Returns whether this incarnation has answered and is another one than [ref], which has ended before. */
internal fun WorkerView.isOtherIncarnationThan(ref: WorkerRef): Boolean =
    isConfirmed && this.ref.startMillis != ref.startMillis

/**
 * Returns why no run on the worker [ref] can be active any more, or null if one can.
 *
 * The end of the lease needs no further sign of failure: it is only extended while the worker lists its runs.
 */
internal fun WorkerView.lossOf(ref: WorkerRef, nowMillis: Long): WorkerLoss? = when {
    isOtherIncarnationThan(ref) -> WorkerLoss.RESTARTED
    replaced -> WorkerLoss.REPLACED
    nowMillis >= leaseEndMillis -> WorkerLoss.LEASE_EXPIRED
    else -> null
}
