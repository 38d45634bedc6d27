package org.auburnlever.workload.runs

import kotlinx.collections.immutable.toPersistentMap
import org.auburnlever.workload.state.TaskRun
import org.auburnlever.workload.state.WorkerRef

/**
 * A start that has not been answered, so that the worker may still carry it out.
 *
 * @property worker the newest incarnation that the start was sent to, or that has confirmed a stop of the run
 * @property stopSentMillis when a later incarnation was last told to stop the run; null if none was
 */
internal data class LateStart(val worker: WorkerRef, val sentMillis: Long, val stopSentMillis: Long? = null)

/** Remembers that the start of [run] was sent to [worker] and may be carried out later. */
internal fun LeaderState.awaitStart(run: TaskRun, worker: WorkerRef, nowMillis: Long) {
    lateStarts = lateStarts.put(run, LateStart(worker, nowMillis))
}

/** Forgets the start of [order] if [answer] tells that it is not carried out later. */
internal fun LeaderState.settleStart(order: WorkerOrder.Start, answer: OrderAnswer) {
    val open = answer is OrderAnswer.Unknown && !answer.notSent
    if (!open) lateStarts = lateStarts.remove(order.run)
}

/** Forgets the starts of runs that are [listed], since they have been carried out. */
internal fun LeaderState.settleStarts(listed: OrderAnswer.Listed) {
    if (lateStarts.isEmpty()) return
    val begun = listed.active.map { it.run } + listed.ended.map { it.end.run }
    lateStarts = begun.fold(lateStarts) { left, run -> left.remove(run) }
}

/**
 * Tells later incarnations of workers to stop runs that are over, but whose start may still arrive there.
 *
 * A start names only the id of its worker, and a stop that the earlier incarnation confirmed is unknown to the later
 * one, whose clock is also far from the start's deadline. Starts of earlier leaders are refused, as their fencing token
 * is lower than that of the first poll.
 */
internal fun LeaderState.stopLateStarts(nowMillis: Long) {
    if (lateStarts.isEmpty()) return
    lateStarts = lateStarts.filterValues { nowMillis - it.sentMillis < LATE_START_MILLIS }.toPersistentMap()
    lateStarts.filterKeys { it !in runs }.forEach { (run, start) ->
        val worker = workers[start.worker.id]?.ref
        val due = start.stopSentMillis.let { it == null || nowMillis - it >= STOP_REPEAT_MILLIS }
        if (worker != null && worker.startMillis > start.worker.startMillis && due) {
            lateStarts = lateStarts.put(run, start.copy(stopSentMillis = nowMillis))
            order(WorkerOrder.Stop(worker, term, run))
            logDecision("late_start_stopped", "$run", "worker" to worker.id, "bornMillis" to worker.startMillis)
        }
    }
}

/** Handles that the worker of [order] can't begin the run any more; a still later incarnation could. */
internal fun LeaderState.confirmLateStop(order: WorkerOrder.Stop) {
    val start = lateStarts[order.run] ?: return
    if (order.worker.startMillis > start.worker.startMillis) {
        lateStarts = lateStarts.put(order.run, start.copy(worker = order.worker, stopSentMillis = null))
    }
}

/** The operators' workers carry out orders up to 12 s late; the rest covers the time that an order travels. */
private const val LATE_START_MILLIS = 15_000L
