package org.auburnlever.entry

import org.auburnlever.routing.AttemptEnd
import org.auburnlever.routing.SlotGrant
import org.auburnlever.wire.ErrorCode
import org.auburnlever.wire.Outcome

/** Runs single attempts of a request; [clock] returns monotonic milliseconds. */
internal class AttemptRunner(
    private val routing: DomainRouting,
    private val forwarder: Forwarder,
    private val endpoints: EndpointClient,
    private val metrics: RoutingMetrics,
    private val clock: () -> Long,
) {
    /** Runs the next attempt: at a free endpoint here, in another domain, or here after waiting for a slot. */
    suspend fun attempt(state: DispatchState): AttemptSummary {
        val service = state.service.name
        val grant = routing.tryAcquire(service, state.avoidedEndpoints)
        return when {
            grant != null -> send(state, grant)
            state.mayForward -> forward(state) ?: awaitSlot(state)
            else -> awaitSlot(state)
        }
    }

    /** Forwards the request to another domain; returns null if it certainly did not run there and can run here. */
    private suspend fun forward(state: DispatchState): AttemptSummary? {
        val remaining = state.deadlineMillis - clock()
        val served = routing.serves(state.service.name)
        val request = state.request.copy(timeoutMillis = remaining)
        val forwarded = if (remaining <= 0) {
            null
        } else {
            forwarder.forward(request, waitAllowed = !served, state.avoidedHosts)
        }
        return when (val outcome = forwarded?.outcome) {
            null -> null
            is Outcome.Refused ->
                if (served) null else AttemptSummary(outcome, retryUseful = true, host = forwarded.host)
            is Outcome.Unknown -> AttemptSummary(outcome, retryUseful = state.request.repeatable, host = forwarded.host)
            else -> AttemptSummary(outcome, retryUseful = false)
        }
    }

    private suspend fun awaitSlot(state: DispatchState): AttemptSummary {
        val service = state.service
        if (!routing.serves(service.name)) {
            return notRun(ErrorCode.NO_ENDPOINT, "no endpoint of ${service.name} is available")
        }
        val result = routing.awaitSlot(service.name, state.queuedRequest, service.maxQueue)
        if (result !is SlotResult.Granted) metrics.queueRefused(service.name, result)
        return when (result) {
            is SlotResult.Granted -> send(state, result.grant)
            is SlotResult.Full -> notRun(ErrorCode.OVERLOADED, "the queue of ${service.name} is full")
            is SlotResult.TooLate ->
                notRun(ErrorCode.DEADLINE_EXCEEDED, "no slot of ${service.name} becomes free before the deadline")
        }
    }

    private fun notRun(code: ErrorCode, message: String) =
        AttemptSummary(Outcome.Refused(code, message), retryUseful = false)

    private suspend fun send(state: DispatchState, grant: SlotGrant): AttemptSummary =
        if (clock() < state.deadlineMillis) {
            sendNow(state, grant)
        } else {
            routing.release(grant, AttemptEnd.NotSent)
            notRun(ErrorCode.DEADLINE_EXCEEDED, "the deadline passed before the request was sent")
        }

    private suspend fun sendNow(state: DispatchState, grant: SlotGrant): AttemptSummary {
        val startMillis = clock()
        var end: AttemptEnd = AttemptEnd.PossiblyRunning(state.deadlineMillis)
        try {
            val result = endpoints.send(grant, state.toAttempt(startMillis))
            metrics.attemptEnded(grant.service, result)
            end = result.toAttemptEnd(clock() - startMillis, state.deadlineMillis)
            return result.toAttemptSummary(state.request.repeatable, grant.endpoint)
        } finally {
            routing.release(grant, end)
        }
    }
}
