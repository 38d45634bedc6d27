package org.auburnlever.workload.runs

import org.auburnlever.workload.state.WorkerRef
import org.auburnlever.workload.state.WorkloadState

/**
 * A report that names another incarnation or another address than is known of its worker.
 *
 * Anyone can write a report, so it changes nothing until the worker at the address that it names has answered as the
 * incarnation that it names.
 *
 * @property receivedMillis when the newest report with the same incarnation and address was received
 * @property askedMillis when the address was last asked
 * @property askedCount how often it was asked
 */
internal data class UnconfirmedReport(
    val report: WorkerReport,
    val receivedMillis: Long,
    val askedMillis: Long,
    val askedCount: Int,
) {
    /** Returns whether the address is to be asked again; the interval doubles, up to a limit. */
    fun isDue(nowMillis: Long): Boolean =
        nowMillis - askedMillis >= CONFIRMATION_REPEAT_MILLIS shl minOf(askedCount - 1, MAX_DOUBLINGS)

    fun asked(nowMillis: Long) = copy(askedMillis = nowMillis, askedCount = askedCount + 1)
}

/**
 * Keeps [report] until it is confirmed, and asks the worker at its address for its incarnation.
 *
 * At most [MAX_UNCONFIRMED] reports are kept, so that a flood of false ones costs a bounded number of calls; a worker
 * reports again.
 */
internal fun LeaderState.awaitConfirmation(report: WorkerReport, nowMillis: Long) {
    val ref = report.ref
    val earlier = unconfirmedReports[ref]
    if (earlier != null) {
        val newest = if (earlier.report.sequence > report.sequence) earlier.report else report
        unconfirmedReports = unconfirmedReports.put(ref, earlier.copy(report = newest, receivedMillis = nowMillis))
        askIfDue(ref, nowMillis)
    } else if (unconfirmedReports.size < MAX_UNCONFIRMED) {
        logReport("report_unconfirmed", report, workers[ref.id])
        val unconfirmed = UnconfirmedReport(report, receivedMillis = nowMillis, askedMillis = nowMillis, askedCount = 1)
        unconfirmedReports = unconfirmedReports.put(ref, unconfirmed)
        ask(ref)
    }
}

/**
 * Asks again where no usable answer came, and discards the reports that are not repeated.
 *
 * A list that another poll asked for may have confirmed a report in the meantime.
 */
internal fun LeaderState.askForConfirmations(nowMillis: Long) = unconfirmedReports.values.forEach { unconfirmed ->
    val ref = unconfirmed.report.ref
    val known = workers[ref.id]
    when {
        known?.ref == ref -> {
            unconfirmedReports = unconfirmedReports.remove(ref)
            handleNextReport(known, unconfirmed.report, nowMillis)
        }
        nowMillis - unconfirmed.receivedMillis > limits.reportLimitMillis -> discardReport(ref, "no usable answer")
        else -> askIfDue(ref, nowMillis)
    }
}

private fun LeaderState.askIfDue(ref: WorkerRef, nowMillis: Long) {
    val unconfirmed = unconfirmedReports[ref]?.takeIf { it.isDue(nowMillis) } ?: return
    unconfirmedReports = unconfirmedReports.put(ref, unconfirmed.asked(nowMillis))
    ask(ref)
}

private fun LeaderState.ask(ref: WorkerRef) = order(identification(ref))

/** A poll whose answer tells the incarnation, and which neither extends a lease nor acknowledges ends. */
private fun LeaderState.identification(ref: WorkerRef) =
    WorkerOrder.Poll(ref, fencingToken(ref.id), acknowledgedEnd = 0, deadlineMillis = null, waitMillis = 0)

/**
 * Handles the answer to [order] if it asks whether a report is true.
 *
 * Returns false if the answer is a list of the incarnation that is known of the worker, which is to be handled as such.
 */
internal fun LeaderState.handleConfirmation(
    state: WorkloadState,
    order: WorkerOrder.Poll,
    answer: OrderAnswer,
    sentMillis: Long,
    nowMillis: Long,
): Boolean {
    val unconfirmed = unconfirmedReports[order.worker]
    val known = workers[order.worker.id]
    if (known?.ref == order.worker) return false
    if (unconfirmed != null) {
        when (answer) {
            is OrderAnswer.Listed -> handleConfirmingList(state, order, answer, sentMillis, nowMillis)
            OrderAnswer.OtherIncarnation -> discardReport(order.worker, "another worker answers")
            is OrderAnswer.Done, is OrderAnswer.Refused, is OrderAnswer.Unknown -> Unit
        }
    }
    return unconfirmed != null
}

private fun LeaderState.handleConfirmingList(
    state: WorkloadState,
    order: WorkerOrder.Poll,
    listed: OrderAnswer.Listed,
    sentMillis: Long,
    nowMillis: Long,
) {
    val unconfirmed = unconfirmedReports[order.worker] ?: return
    val ref = order.worker
    val startMillis = listed.workerStartMillis ?: return
    val known = workers[ref.id]
    when {
        known != null && known.ref.startMillis != startMillis && !known.isSucceededBy(order) ->
            discardReport(ref, "asked before another incarnation answered")
        known?.ref == ref.copy(startMillis = startMillis) -> discardReport(ref, "another incarnation answers")
        else -> {
            unconfirmedReports = unconfirmedReports.remove(ref)
            val answering = ref.copy(startMillis = startMillis)
            val report = unconfirmed.report.takeIf { startMillis == ref.startMillis }
            join(answering, report, listed, order.fencingToken, nowMillis)
            // The list of a later incarnation counts only once the runs of the earlier one are settled.
            val restarted = known != null && known.ref.startMillis != startMillis
            if (!restarted) handleList(state, order.copy(worker = answering), listed, sentMillis, nowMillis)
        }
    }
}

private fun LeaderState.discardReport(ref: WorkerRef, reason: String) {
    unconfirmedReports = unconfirmedReports.remove(ref)
    logDecision(
        "report_discarded",
        ref.id,
        "address" to ref.address,
        "bornMillis" to ref.startMillis,
        "reason" to reason,
        "knownBornMillis" to workers[ref.id]?.ref?.startMillis,
    )
}

/** Time after which an address without a usable answer is asked for the second time. */
private const val CONFIRMATION_REPEAT_MILLIS = 300L
private const val MAX_DOUBLINGS = 3

/** After an election all workers of a large fleet report within one interval, most of them confirmed at once. */
private const val MAX_UNCONFIRMED = 1_000
