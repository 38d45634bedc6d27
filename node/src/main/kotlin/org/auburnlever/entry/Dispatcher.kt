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
 * Runs service requests on endpoints of this host's failure domain, or through entry hosts of other domains.
 *
 * An outcome `refused` means that no endpoint began the request in any attempt. [inForce] reads the bundle in force and
 * [clock] returns monotonic milliseconds.
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
    private val tickets = AtomicLong()

    /** Runs [request] here or in another failure domain, until its timeout. */
    suspend fun dispatch(request: ServiceRequest): Outcome = run(request, mayForward = true)

    /** Answers another host; the request is not forwarded again. A host that shuts down refuses. */
    suspend fun answer(dispatch: PeerRequest.Dispatch): PeerReply {
        val outcome = requests.trackUnlessClosed { run(dispatch.request, mayForward = false) }
        return PeerReply.Dispatched(
            outcome ?: Outcome.Refused(ErrorCode.SHUTTING_DOWN, "the entry host is shutting down"),
        )
    }

    /** Refuses new requests of other hosts from now on. */
    fun close() = requests.close()

    /** Says whether requests of other hosts are refused. */
    val isClosed: Boolean get() = requests.isClosed

    /** Requests of other hosts that have not ended. */
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
            else -> run(Dispatch(request, service, ticket(request, bundle), mayForward))
        }
    }

    private suspend fun run(dispatch: Dispatch): Outcome {
        val startMillis = clock()
        routing.retries.requested()
        val outcome = attempts(dispatch)
        metrics.requestEnded(dispatch.service.name, outcome, clock() - startMillis)
        return outcome
    }

    private fun ticket(request: ServiceRequest, bundle: Bundle) = QueuedRequest(
        id = tickets.incrementAndGet(),
        account = request.account,
        share = bundle.accounts.firstOrNull { it.name == request.account }?.share ?: 1,
        urgent = request.urgent,
        deadlineMillis = clock() + request.timeoutMillis,
    )

    private tailrec suspend fun attempts(dispatch: Dispatch): Outcome {
        val step = runner.attempt(dispatch)
        val outcome = step.outcome.after(dispatch.earlier)
        return if (!step.retryUseful || !mayRetry(dispatch)) outcome else attempts(dispatch.next(step, outcome))
    }

    private fun mayRetry(dispatch: Dispatch): Boolean {
        val useful = dispatch.attempt < MAX_ATTEMPTS && clock() < dispatch.deadlineMillis
        return useful && routing.retries.take().also { metrics.retry(it) }
    }

    private companion object {
        /** First attempt and two retries; more would rarely end within the caller's timeout. */
        const val MAX_ATTEMPTS = 3
    }
}
