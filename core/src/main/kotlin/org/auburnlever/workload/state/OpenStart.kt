package org.auburnlever.workload.state

import kotlinx.collections.immutable.toPersistentMap
import kotlinx.serialization.Serializable

/**
 * A start that got no answer and whose run is over.
 *
 * A later incarnation of its worker knows nothing of the run and would carry the start out, so each leader has to call
 * that incarnation with a higher fencing token first.
 *
 * @property worker the incarnation that the start was sent to
 * @property untilMillis Unix time from which the start is not carried out any more
 */
@Serializable
data class OpenStart(val worker: WorkerRef, val untilMillis: Long)

/** Returns the state with the open start of the run that [end] ends, and without those that are over by now. */
internal fun WorkloadState.withOpenStart(end: RunEnd): WorkloadState {
    val task = task(end.run.task)
    val worker = task?.worker
    if (!end.startOpen || worker == null) return this
    val untilMillis = maxOf(task.assignedMillis + LATE_START_MILLIS, openStarts[worker.id]?.untilMillis ?: 0)
    val current = openStarts.filterValues { nowMillis < it.untilMillis }.toPersistentMap()
    return copy(openStarts = current.put(worker.id, OpenStart(worker, untilMillis)))
}

/** The operators' workers carry orders out up to 12 s late; the rest is the time from the assignment to the order. */
private const val LATE_START_MILLIS = 15_000L
