package org.auburnlever.entry

import org.auburnlever.configuration.Service
import org.auburnlever.peer.ServiceRequest
import org.auburnlever.routing.AttemptEnd
import org.auburnlever.routing.QueuedRequest
import org.auburnlever.wire.ErrorCode
import org.auburnlever.wire.Outcome
import org.auburnlever.world.EndpointName
import org.auburnlever.world.HostName

/** A request on its way, before its [attempt]-th attempt; [earlier] is what the attempts so far add up to. */
internal data class Dispatch(
    val request: ServiceRequest,
    val service: Service,
    val ticket: QueuedRequest,
    val mayForward: Boolean,
    val attempt: Int = 1,
    val earlier: Outcome? = null,
    val avoidedEndpoints: Set<EndpointName> = emptySet(),
    val avoidedHosts: Set<HostName> = emptySet(),
) {
    val deadlineMillis: Long get() = ticket.deadlineMillis

    fun next(step: Step, outcome: Outcome): Dispatch = copy(
        attempt = attempt + 1,
        earlier = outcome,
        avoidedEndpoints = avoidedEndpoints + setOfNotNull(step.endpoint),
        avoidedHosts = avoidedHosts + setOfNotNull(step.host),
    )

    fun toAttempt(nowMillis: Long) = EndpointAttempt(
        attemptId = "${request.requestId}-$attempt",
        account = request.account,
        repeatable = request.repeatable,
        timeoutMillis = deadlineMillis - nowMillis,
        contentType = request.contentType,
        body = request.body,
    )
}

/** Result of one attempt, and which endpoint or host a retry should avoid. */
internal data class Step(
    val outcome: Outcome,
    val retryUseful: Boolean,
    val endpoint: EndpointName? = null,
    val host: HostName? = null,
)

/** The outcome of two attempts: a certain answer wins, otherwise the one under which more may have run. */
internal fun Outcome.after(earlier: Outcome?): Outcome =
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
        is AttemptResult.Broken, is AttemptResult.Silent -> AttemptEnd.PossiblyRunning(deadlineMillis)
    }

internal fun AttemptResult.toStep(repeatable: Boolean, endpoint: EndpointName): Step =
    when (this) {
        is AttemptResult.Answered -> Step(Outcome.Completed(answer), retryUseful = false)
        is AttemptResult.Error ->
            Step(Outcome.Failed(ErrorCode.ENDPOINT_FAILED, message), repeatable && isServerError, endpoint)
        is AttemptResult.NotBegun ->
            Step(Outcome.Refused(ErrorCode.ENDPOINT_FAILED, message), retryUseful = true, endpoint)
        is AttemptResult.Broken ->
            Step(Outcome.Unknown(ErrorCode.ENDPOINT_FAILED, message), repeatable, endpoint)
        is AttemptResult.Silent ->
            Step(Outcome.Unknown(ErrorCode.DEADLINE_EXCEEDED, message), retryUseful = false, endpoint)
    }

private val AttemptResult.Error.isServerError: Boolean get() = status >= FIRST_SERVER_ERROR

private const val FIRST_SERVER_ERROR = 500
