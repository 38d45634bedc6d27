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
internal data class WorkerClaim(val report: WorkerReport, val receivedMillis: Long, val askedMillis: Long)

/** Keeps [report] as a claim, and asks the worker at its address for its incarnation. */
internal fun LeaderState.claim(report: WorkerReport, nowMillis: Long) {
    val earlier = claims[report.ref]
    val newest = if (earlier != null && earlier.report.sequence > report.sequence) earlier.report else report
    if (earlier == null) logReport("worker_claimed", report, workers[report.ref.id])
    val due = earlier == null || nowMillis - earlier.askedMillis >= CLAIM_REPEAT_MILLIS
    val askedMillis = if (due) nowMillis else earlier.askedMillis
    claims = claims.put(report.ref, WorkerClaim(newest, nowMillis, askedMillis))
    if (due) ask(report.ref)
}

/** Asks again where a claim got no usable answer, and drops the claims that are no longer reported. */
internal fun LeaderState.askForClaims(nowMillis: Long) = claims.values.forEach { claim ->
    val ref = claim.report.ref
    when {
        nowMillis - claim.receivedMillis > limits.reportLimitMillis -> dropClaim(ref, "no usable answer")
        nowMillis - claim.askedMillis >= CLAIM_REPEAT_MILLIS -> {
            claims = claims.put(ref, claim.copy(askedMillis = nowMillis))
            ask(ref)
        }
    }
}

private fun LeaderState.ask(ref: WorkerRef) = order(identification(ref))

/** A poll whose answer tells the incarnation, and which neither extends a lease nor acknowledges ends. */
private fun LeaderState.identification(ref: WorkerRef) =
    WorkerOrder.Poll(ref, term, acknowledgedEnd = 0, deadlineMillis = null, waitMillis = 0)

/**
 * Handles the answer to [order] if it asks whether a claim is true.
 *
 * Returns false if the answer is a list of the incarnation that is known of the worker, which is to be handled as such.
 */
internal fun LeaderState.handleClaimAnswer(
    state: WorkloadState,
    order: WorkerOrder.Poll,
    answer: OrderAnswer,
    sentMillis: Long,
    nowMillis: Long,
): Boolean {
    val claim = claims[order.worker]
    val known = workers[order.worker.id]
    if (known?.ref == order.worker) return false
    if (claim != null) {
        when (answer) {
            is OrderAnswer.Listed -> handleClaimList(state, claim, answer, sentMillis, nowMillis)
            OrderAnswer.OtherIncarnation -> dropClaim(order.worker, "another worker answers")
            is OrderAnswer.Done, is OrderAnswer.Refused, is OrderAnswer.Unknown -> Unit
        }
    }
    return claim != null
}

private fun LeaderState.handleClaimList(
    state: WorkloadState,
    claim: WorkerClaim,
    listed: OrderAnswer.Listed,
    sentMillis: Long,
    nowMillis: Long,
) {
    val ref = claim.report.ref
    val startMillis = listed.workerStartMillis ?: ref.startMillis
    val known = workers[ref.id]
    when {
        // An answer that was asked for before a still later incarnation was found.
        known != null && known.ref.startMillis > startMillis -> dropClaim(ref, "an earlier incarnation answers")
        startMillis < ref.startMillis -> dropClaim(ref, "another incarnation answers")
        else -> {
            claims = claims.remove(ref)
            val answering = ref.copy(startMillis = startMillis)
            val report = claim.report.takeIf { startMillis == ref.startMillis }
            join(answering, report, listed, nowMillis)
            // The list of a later incarnation counts only once the runs of the earlier one are settled.
            val restarted = known != null && known.ref.startMillis != startMillis
            if (!restarted) handleList(state, identification(answering), listed, sentMillis, nowMillis)
        }
    }
}

private fun LeaderState.dropClaim(ref: WorkerRef, reason: String) {
    claims = claims.remove(ref)
    logDecision(
        "claim_dropped",
        ref.id,
        "address" to ref.address,
        "bornMillis" to ref.startMillis,
        "reason" to reason,
        "knownBornMillis" to workers[ref.id]?.ref?.startMillis,
    )
}

/** Interval at which an address without a usable answer is asked again. */
private const val CLAIM_REPEAT_MILLIS = 300L
