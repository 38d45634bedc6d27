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
 */
internal data class UnconfirmedReport(val report: WorkerReport, val receivedMillis: Long, val askedMillis: Long)

/** Keeps [report] until it is confirmed, and asks the worker at its address for its incarnation. */
internal fun LeaderState.awaitConfirmation(report: WorkerReport, nowMillis: Long) {
    val earlier = unconfirmedReports[report.ref]
    val newest = if (earlier != null && earlier.report.sequence > report.sequence) earlier.report else report
    if (earlier == null) logReport("report_unconfirmed", report, workers[report.ref.id])
    val due = earlier == null || nowMillis - earlier.askedMillis >= CONFIRMATION_REPEAT_MILLIS
    val askedMillis = if (due) nowMillis else earlier.askedMillis
    unconfirmedReports = unconfirmedReports.put(report.ref, UnconfirmedReport(newest, nowMillis, askedMillis))
    if (due) ask(report.ref)
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
        nowMillis - unconfirmed.askedMillis >= CONFIRMATION_REPEAT_MILLIS -> {
            unconfirmedReports = unconfirmedReports.put(ref, unconfirmed.copy(askedMillis = nowMillis))
            ask(ref)
        }
    }
}

private fun LeaderState.ask(ref: WorkerRef) = order(identification(ref))

/** A poll whose answer tells the incarnation, and which neither extends a lease nor acknowledges ends. */
private fun LeaderState.identification(ref: WorkerRef) =
    WorkerOrder.Poll(ref, term, acknowledgedEnd = 0, deadlineMillis = null, waitMillis = 0)

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
            is OrderAnswer.Listed -> handleConfirmingList(state, unconfirmed, answer, sentMillis, nowMillis)
            OrderAnswer.OtherIncarnation -> discardReport(order.worker, "another worker answers")
            is OrderAnswer.Done, is OrderAnswer.Refused, is OrderAnswer.Unknown -> Unit
        }
    }
    return unconfirmed != null
}

private fun LeaderState.handleConfirmingList(
    state: WorkloadState,
    unconfirmed: UnconfirmedReport,
    listed: OrderAnswer.Listed,
    sentMillis: Long,
    nowMillis: Long,
) {
    val ref = unconfirmed.report.ref
    val startMillis = listed.workerStartMillis ?: return
    val known = workers[ref.id]
    when {
        // An answer that was asked for before a still later incarnation was found.
        known != null && known.ref.startMillis > startMillis -> discardReport(ref, "an earlier incarnation answers")
        startMillis < ref.startMillis -> discardReport(ref, "another incarnation answers")
        else -> {
            unconfirmedReports = unconfirmedReports.remove(ref)
            val answering = ref.copy(startMillis = startMillis)
            val report = unconfirmed.report.takeIf { startMillis == ref.startMillis }
            join(answering, report, listed, nowMillis)
            // The list of a later incarnation counts only once the runs of the earlier one are settled.
            val restarted = known != null && known.ref.startMillis != startMillis
            if (!restarted) handleList(state, identification(answering), listed, sentMillis, nowMillis)
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

/** Interval at which an address without a usable answer is asked again. */
private const val CONFIRMATION_REPEAT_MILLIS = 300L
