package org.auburnlever.entry

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getError
import kotlinx.serialization.json.JsonElement
import org.auburnlever.model.HostName
import org.auburnlever.observe.Dumpable
import org.auburnlever.peer.PeerReply
import org.auburnlever.peer.PeerRequest
import org.auburnlever.peer.ServiceLoad
import org.auburnlever.peer.ServiceRequest
import org.auburnlever.routing.HostLocation
import org.auburnlever.routing.RemoteLoads
import org.auburnlever.transport.CallError
import org.auburnlever.transport.Peer
import org.auburnlever.transport.PeerClient
import org.auburnlever.transport.PeerDirectory
import org.auburnlever.wire.ErrorCode
import org.auburnlever.wire.Outcome
import kotlin.random.Random

/** Forwards requests to entry hosts of other failure domains; [clock] returns monotonic milliseconds. */
class Forwarder(
    private val directory: PeerDirectory,
    private val peers: PeerClient,
    private val metrics: RoutingMetrics,
    private val clock: () -> Long,
    private val random: Random = Random.Default,
) : Dumpable {
    private val loads = AtomicState(RemoteLoads.EMPTY)
    private val self = directory.self.place()

    /** Stores the loads that [host] reported; ignores hosts of this failure domain and unknown ones. */
    fun updateLoads(host: HostName, serviceLoads: List<ServiceLoad>) {
        val place = directory.others.firstOrNull { it.host == host }?.place() ?: return
        if (place.failureDomain != self.failureDomain) loads.update { it.record(place, serviceLoads, clock()) }
    }

    /**
     * Runs [request] in another failure domain, on a host that is not [avoided]. Returns null if no host can take it;
     * then nothing was sent. With [waitAllowed], the request may wait in the queue of the other domain.
     */
    suspend fun forward(request: ServiceRequest, waitAllowed: Boolean, avoided: Set<HostName>): ForwardResult? {
        val reachable = directory.reachable()
        val known = loads.current
        val usable = { host: HostName -> host in reachable && host !in avoided && known.isRecent(host, clock()) }
        val place = known.choose(request.service, self, usable, waitAllowed, random) ?: return null
        loads.update { it.addForwarded(place.host, 1) }
        try {
            return ForwardResult(place.host, call(place, request))
        } finally {
            loads.update { it.addForwarded(place.host, -1) }
        }
    }

    override fun dump(): JsonElement = dumpRemoteLoads(loads.current, clock())

    private suspend fun call(place: HostLocation, request: ServiceRequest): Outcome {
        val call = PeerRequest.Dispatch(request)
        val result = peers.call(place.host, call, request.timeoutMillis)
        val outcome = result.fold(success = ::replyOutcome, failure = ::errorOutcome)
        val sent = if (result.getError() is CallError.NotSent) 0 else request.body.size
        val received = (outcome as? Outcome.Completed)?.answer?.lengthBytes ?: 0
        val crossRegionBytes = if (place.region == self.region) 0L else sent.toLong() + received
        metrics.forwarded(outcome.name, crossRegionBytes)
        return outcome
    }

    private fun replyOutcome(reply: PeerReply): Outcome =
        when (reply) {
            is PeerReply.Dispatched -> reply.outcome
            is PeerReply.NotDone -> Outcome.Refused(ErrorCode.DOMAIN_UNREACHABLE, reply.message)
            is PeerReply.Undecided -> Outcome.Unknown(ErrorCode.REPLY_LOST, reply.message)
            else -> Outcome.Unknown(ErrorCode.INTERNAL, "unexpected reply to a forwarded request")
        }

    private fun errorOutcome(error: CallError): Outcome =
        when (error) {
            is CallError.NotSent -> Outcome.Refused(ErrorCode.DOMAIN_UNREACHABLE, error.message)
            is CallError.NoReply -> Outcome.Unknown(ErrorCode.REPLY_LOST, error.message)
        }
}

/** Outcome of a request that was forwarded to [host]. */
data class ForwardResult(val host: HostName, val outcome: Outcome)

private fun Peer.place() = HostLocation(host, region, failureDomain)
