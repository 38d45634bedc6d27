package org.auburnlever.workload.runs

import org.auburnlever.workload.state.WorkerRef
import org.auburnlever.workload.state.WorkloadState

/**
 * Returns the fencing token of the next order to the worker [workerId].
 *
 * It consists of the term and of a number that rises while the leader rules, for each worker on its own. A worker
 * refuses all orders with a lower token than it has seen, so one answer to an order with a raised token shows that no
 * earlier order takes effect on that incarnation any more, whatever it asks for and whichever leader sent it.
 */
internal fun LeaderState.fencingToken(workerId: String): Long = (term shl FENCE_BITS) + (fences[workerId] ?: firstFence)

/** Lets all further orders to the worker [workerId] carry a higher token than those that were sent before. */
internal fun LeaderState.raiseFence(workerId: String, reason: FenceReason, vararg details: Pair<String, Any?>) {
    val raised = (fences[workerId] ?: firstFence) + 1
    check(raised < 1L shl FENCE_BITS) { "the fencing tokens of worker $workerId are used up in term $term" }
    fences = fences.put(workerId, raised)
    logDecision(
        "fence_raised",
        workerId,
        "reason" to reason,
        "fencingToken" to fencingToken(workerId),
        more = details.toMap(),
    )
}

/** Raises the token of a worker of which [answering] is known now in place of the incarnation [known]. */
internal fun LeaderState.raiseFenceFor(answering: WorkerRef, known: WorkerRef) = raiseFence(
    answering.id,
    FenceReason.OTHER_INCARNATION,
    "bornMillis" to answering.startMillis,
    "knownBornMillis" to known.startMillis,
)

/** Raises the worker's token if [order] was not answered, unless that has been done since the order was sent. */
internal fun LeaderState.raiseFenceAfter(order: WorkerOrder, answer: OrderAnswer) {
    val mayArrive = answer is OrderAnswer.Unknown && !answer.notSent && order.hasEffect
    if (mayArrive && order.fencingToken == fencingToken(order.worker.id)) {
        val run = (order as? WorkerOrder.Start)?.run
        raiseFence(order.worker.id, FenceReason.ORDER_UNANSWERED, "order" to order.kind, "run" to run)
    }
}

/** Whether a worker that carries the order out does more than list its runs. */
private val WorkerOrder.hasEffect: Boolean
    get() = this !is WorkerOrder.Poll || acknowledgedEnd > 0 || deadlineMillis != null

/**
 * Returns the ids of the workers at which a start may still be carried out.
 *
 * A later incarnation has seen no token and would carry such a start out. It is called as soon as it can be reached,
 * and refuses the start from then on.
 */
internal fun LeaderState.workersWithOpenStarts(state: WorkloadState, nowMillis: Long): Set<String> {
    val recorded = state.openStarts.filterValues { nowMillis < it.untilMillis }
    recorded.values.forEach { adoptWorker(it.worker, nowMillis) }
    return recorded.keys + runs.values.filter { it.startOpen }.map { it.worker.id }
}

/** Leaves room for 16 million rises of one worker's token, and for 2^29 terms, in a number that JSON keeps exactly. */
internal const val FENCE_BITS = 24
