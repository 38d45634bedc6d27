package org.auburnlever.entry

import org.auburnlever.routing.AttemptEnd
import org.auburnlever.routing.SlotGrant
import org.auburnlever.wire.ErrorCode
import org.auburnlever.wire.Outcome

/** Makes single attempts to run a request; [clock] returns monotonic milliseconds. */
internal class AttemptRunner(
    private val routing: DomainRouting,
    private val forwarder: Forwarder,
    private val endpoints: EndpointClient,
    private val metrics: RoutingMetrics,
    private val clock: () -> Long,
) {
    /** Makes the next attempt: at a free endpoint here, in another domain, or after waiting for a slot here. */
    suspend fun attempt(dispatch: Dispatch): Step {
        val service = dispatch.service.name
        val grant = routing.tryAcquire(service, dispatch.avoidedEndpoints)
        return when {
            grant != null -> send(dispatch, grant)
            dispatch.mayForward -> forward(dispatch) ?: await(dispatch)
            else -> await(dispatch)
        }
    }

    /** Null if the request was certainly not run elsewhere and can be run here instead. */
    private suspend fun forward(dispatch: Dispatch): Step? {
        val remaining = dispatch.deadlineMillis - clock()
        val served = routing.serves(dispatch.service.name)
        val request = dispatch.request.copy(timeoutMillis = remaining)
        val forwarded = if (remaining <= 0) {
            null
        } else {
            forwarder.forward(request, waitAllowed = !served, dispatch.avoidedHosts)
        }
        return when (val outcome = forwarded?.outcome) {
            null -> null
            is Outcome.Refused -> if (served) null else Step(outcome, retryUseful = true, host = forwarded.host)
            is Outcome.Unknown -> Step(outcome, retryUseful = dispatch.request.repeatable, host = forwarded.host)
            else -> Step(outcome, retryUseful = false)
        }
    }

    private suspend fun await(dispatch: Dispatch): Step {
        val service = dispatch.service
        if (!routing.serves(service.name)) {
            return notRun(ErrorCode.NO_ENDPOINT, "no endpoint of ${service.name} can be reached")
        }
        val answer = routing.awaitSlot(service.name, dispatch.ticket, service.maxQueue)
        if (answer !is SlotAnswer.Granted) metrics.queueRefused(service.name, answer)
        return when (answer) {
            is SlotAnswer.Granted -> send(dispatch, answer.grant)
            is SlotAnswer.Full -> notRun(ErrorCode.OVERLOADED, "the queue of ${service.name} is full")
            is SlotAnswer.TooLate ->
                notRun(ErrorCode.DEADLINE_EXCEEDED, "no slot of ${service.name} becomes free before the deadline")
        }
    }

    private fun notRun(code: ErrorCode, message: String) = Step(Outcome.Refused(code, message), retryUseful = false)

    private suspend fun send(dispatch: Dispatch, grant: SlotGrant): Step =
        if (clock() < dispatch.deadlineMillis) {
            sendNow(dispatch, grant)
        } else {
            routing.release(grant, AttemptEnd.NotSent)
            notRun(ErrorCode.DEADLINE_EXCEEDED, "the deadline passed before the request was sent")
        }

    private suspend fun sendNow(dispatch: Dispatch, grant: SlotGrant): Step {
        val startMillis = clock()
        var end: AttemptEnd = AttemptEnd.PossiblyRunning(dispatch.deadlineMillis)
        try {
            val result = endpoints.send(grant, dispatch.toAttempt(startMillis))
            metrics.attemptEnded(grant.service, result)
            end = result.toAttemptEnd(clock() - startMillis, dispatch.deadlineMillis)
            return result.toStep(dispatch.request.repeatable, grant.endpoint)
        } finally {
            routing.release(grant, end)
        }
    }
}
