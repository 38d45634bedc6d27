package org.auburnlever.entry

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.auburnlever.configuration.Bundle
import org.auburnlever.observe.Dumpable
import org.auburnlever.peer.PeerReply
import org.auburnlever.peer.PeerRequest
import org.auburnlever.peer.ServiceRequest
import org.auburnlever.routing.QueuedRequest
import org.auburnlever.wire.ErrorCode
import org.auburnlever.wire.Outcome
import java.util.concurrent.atomic.AtomicLong

/**
 * Runs service requests on endpoints of this host's failure domain, or forwards them to entry hosts of other domains.
 *
 * The outcome `refused` means that no endpoint began the request in any attempt. [inForce] returns the bundle in force
 * and [clock] returns monotonic milliseconds.
 */
class Dispatcher(
    private val routing: DomainRouting,
    private val forwarder: Forwarder,
    endpoints: EndpointClient,
    private val metrics: RoutingMetrics,
    private val inForce: () -> Bundle?,
    private val clock: () -> Long,
) : Dumpable {
    private val runner = AttemptRunner(routing, forwarder, endpoints, metrics, clock)
    private val requests = RequestsInProgress()
    private val lastQueuedRequestId = AtomicLong()

    /** Runs [request] in this failure domain or another one, at most until its timeout. */
    suspend fun dispatch(request: ServiceRequest): Outcome = run(request, mayForward = true)

    /** Runs a request that another host forwarded, without forwarding it again; refuses it after [close]. */
    suspend fun dispatchForPeer(call: PeerRequest.Dispatch): PeerReply {
        val outcome = requests.trackUnlessClosed { run(call.request, mayForward = false) }
        return PeerReply.Dispatched(
            outcome ?: Outcome.Refused(ErrorCode.SHUTTING_DOWN, "the entry host is shutting down"),
        )
    }

    /** Refuses further requests from other hosts. */
    fun close() = requests.close()

    /** Whether requests from other hosts are refused. */
    val isClosed: Boolean get() = requests.isClosed

    /** Number of requests from other hosts that have not ended. */
    val peerRequests: Int get() = requests.count

    override fun dump(): JsonElement = buildJsonObject {
        put("peerRequests", requests.count)
        put("shuttingDown", requests.isClosed)
        put("domain", routing.dump())
        put("otherDomains", forwarder.dump())
    }

    private suspend fun run(request: ServiceRequest, mayForward: Boolean): Outcome {
        val bundle = inForce()
        val service = bundle?.services?.firstOrNull { it.name == request.service }
        return when {
            bundle == null -> Outcome.Refused(ErrorCode.NO_CONFIGURATION, "no bundle is in force yet")
            service == null -> Outcome.Refused(ErrorCode.UNKNOWN_SERVICE, "no service ${request.service}")
            else -> run(DispatchState(request, service, createQueuedRequest(request, bundle), mayForward))
        }
    }

    private suspend fun run(state: DispatchState): Outcome {
        val startMillis = clock()
        routing.retryBudget.recordRequest()
        val outcome = runAttempts(state)
        metrics.requestEnded(state.service.name, outcome, clock() - startMillis)
        return outcome
    }

    private fun createQueuedRequest(request: ServiceRequest, bundle: Bundle) = QueuedRequest(
        id = lastQueuedRequestId.incrementAndGet(),
        account = request.account,
        share = bundle.accounts.firstOrNull { it.name == request.account }?.share ?: 1,
        urgent = request.urgent,
        deadlineMillis = clock() + request.timeoutMillis,
    )

    private tailrec suspend fun runAttempts(state: DispatchState): Outcome {
        val summary = runner.attempt(state)
        val outcome = summary.outcome.combinedWith(state.outcomeSoFar)
        return if (!summary.retryUseful || !mayRetry(state)) {
            outcome
        } else {
            runAttempts(state.nextAttempt(summary, outcome))
        }
    }

    private fun mayRetry(state: DispatchState): Boolean {
        val useful = state.attemptNumber < MAX_ATTEMPTS && clock() < state.deadlineMillis
        return useful && routing.retryBudget.tryTake().also { metrics.retry(it) }
    }

    private companion object {
        /** A first attempt and two retries; further ones would rarely end within the caller's timeout. */
        const val MAX_ATTEMPTS = 3
    }
}
