package org.auburnlever.workload.runs

/**
 * Updates from [answer] to [order] whether its worker can be reached, and what its clock shows.
 *
 * Who answers or refuses connections at a former address of the worker says nothing about it.
 */
internal fun LeaderState.updateReachability(
    order: WorkerOrder,
    answer: OrderAnswer,
    sentMillis: Long,
    nowMillis: Long,
) {
    val ref = order.worker
    val known = workers[ref.id]?.takeIf { it.ref == ref } ?: return
    val updated = when (answer) {
        is OrderAnswer.Done -> known.withContact(answer.clockMillis, sentMillis, nowMillis)
        is OrderAnswer.Listed ->
            if (answer.isListOf(ref)) known.withContact(answer.clockMillis, sentMillis, nowMillis) else known
        is OrderAnswer.Refused ->
            known.withAnswerTo(sentMillis).copy(lastContactMillis = nowMillis, failedCalls = 0)
        OrderAnswer.OtherIncarnation -> known.withOtherAnswer(sentMillis, nowMillis)
        is OrderAnswer.Unknown ->
            known.copy(failedCalls = known.failedCalls + 1, refusesConnections = answer.connectionRefused)
    }
    if (known.failedCalls == 0 && updated.failedCalls > 0) {
        logDecision("worker_unreachable", ref.id, "error" to "$answer", "order" to order.kind)
    }
    if (updated.replaced && !known.replaced) {
        logDecision(
            "worker_replaced",
            ref.id,
            "address" to ref.address,
            "failedCalls" to updated.failedCalls,
            "order" to order.kind,
            "sentAgoMillis" to nowMillis - sentMillis,
        )
    }
    if (known.failedCalls > 0 && updated.failedCalls == 0) logDecision("worker_reachable", ref.id)
    put(updated)
}

private fun WorkerView.withContact(shownMillis: Long, sentMillis: Long, nowMillis: Long): WorkerView =
    withAnswerTo(sentMillis).copy(
        lastContactMillis = maxOf(lastContactMillis, nowMillis),
        failedCalls = 0,
        clock = clock.withAnswer(shownMillis, nowMillis),
    )

/** Notes that the worker itself answered an order that was sent at [sentMillis]. */
private fun WorkerView.withAnswerTo(sentMillis: Long): WorkerView =
    copy(refusesConnections = false, otherAnswerMillis = otherAnswerMillis?.takeIf { sentMillis < it })

/** Counts that another worker answered; only the answer to a later order confirms that this one has ended. */
private fun WorkerView.withOtherAnswer(sentMillis: Long, nowMillis: Long): WorkerView {
    val confirmed = otherAnswerMillis != null && sentMillis >= otherAnswerMillis
    return copy(
        otherAnswerMillis = otherAnswerMillis ?: nowMillis,
        replaced = replaced || confirmed,
        failedCalls = failedCalls + 1,
    )
}
