package org.auburnlever.entry

import org.auburnlever.configuration.Service
import org.auburnlever.model.EndpointName
import org.auburnlever.model.HostName
import org.auburnlever.peer.ServiceRequest
import org.auburnlever.routing.AttemptEnd
import org.auburnlever.routing.QueuedRequest
import org.auburnlever.wire.ErrorCode
import org.auburnlever.wire.Outcome

/** Request before its [attemptNumber]-th attempt; [outcomeSoFar] is the combined outcome of the earlier attempts. */
internal data class DispatchState(
    val request: ServiceRequest,
    val service: Service,
    val queuedRequest: QueuedRequest,
    val mayForward: Boolean,
    val attemptNumber: Int = 1,
    val outcomeSoFar: Outcome? = null,
    val avoidedEndpoints: Set<EndpointName> = emptySet(),
    val avoidedHosts: Set<HostName> = emptySet(),
) {
    val deadlineMillis: Long get() = queuedRequest.deadlineMillis

    fun nextAttempt(summary: AttemptSummary, outcome: Outcome): DispatchState = copy(
        attemptNumber = attemptNumber + 1,
        outcomeSoFar = outcome,
        avoidedEndpoints = avoidedEndpoints + setOfNotNull(summary.endpoint),
        avoidedHosts = avoidedHosts + setOfNotNull(summary.host),
    )

    fun toAttempt(nowMillis: Long) = EndpointAttempt(
        attemptId = "${request.requestId}-$attemptNumber",
        account = request.account,
        repeatable = request.repeatable,
        timeoutMillis = deadlineMillis - nowMillis,
        contentType = request.contentType,
        body = request.body,
    )
}

/** Result of one attempt; a retry should avoid [endpoint] and [host]. */
internal data class AttemptSummary(
    val outcome: Outcome,
    val retryUseful: Boolean,
    val endpoint: EndpointName? = null,
    val host: HostName? = null,
)

/**
 * Combines the outcome of an attempt with that of the earlier ones. A completed attempt decides; otherwise the result
 * is the outcome that leaves more room for a run: unknown or failed rather than refused, unknown rather than failed.
 */
internal fun Outcome.combinedWith(earlier: Outcome?): Outcome =
    when {
        earlier == null || this is Outcome.Completed -> this
        this is Outcome.Refused -> earlier.takeUnless { it is Outcome.Refused } ?: this
        earlier is Outcome.Unknown -> earlier
        else -> this
    }

internal fun AttemptResult.toAttemptEnd(latencyMillis: Long, deadlineMillis: Long): AttemptEnd =
    when (this) {
        is AttemptResult.Answered -> AttemptEnd.Answered(latencyMillis)
        is AttemptResult.Error -> if (isServerError) AttemptEnd.Failed else AttemptEnd.Answered(latencyMillis)
        is AttemptResult.NotBegun -> AttemptEnd.Failed
        is AttemptResult.Broken, is AttemptResult.TimedOut -> AttemptEnd.PossiblyRunning(deadlineMillis)
    }

internal fun AttemptResult.toAttemptSummary(repeatable: Boolean, endpoint: EndpointName): AttemptSummary =
    when (this) {
        is AttemptResult.Answered -> AttemptSummary(Outcome.Completed(answer), retryUseful = false)
        is AttemptResult.Error ->
            AttemptSummary(Outcome.Failed(ErrorCode.ENDPOINT_FAILED, message), repeatable && isServerError, endpoint)
        is AttemptResult.NotBegun ->
            AttemptSummary(Outcome.Refused(ErrorCode.ENDPOINT_FAILED, message), retryUseful = true, endpoint)
        is AttemptResult.Broken ->
            AttemptSummary(Outcome.Unknown(ErrorCode.ENDPOINT_FAILED, message), repeatable, endpoint)
        is AttemptResult.TimedOut ->
            AttemptSummary(Outcome.Unknown(ErrorCode.DEADLINE_EXCEEDED, message), retryUseful = false, endpoint)
    }

private val AttemptResult.Error.isServerError: Boolean get() = status >= FIRST_SERVER_ERROR

private const val FIRST_SERVER_ERROR = 500
