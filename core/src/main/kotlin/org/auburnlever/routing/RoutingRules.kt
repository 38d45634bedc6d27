package org.auburnlever.routing

import org.auburnlever.model.EndpointName
import org.auburnlever.model.ServiceName
import org.auburnlever.peer.AgedAnnouncement
import org.auburnlever.peer.ServiceLoad
import kotlin.random.Random

/** Computes the transitions of a [RoutingState]; [shares] limits how much of each endpoint this host may use. */
class RoutingRules(private val shares: EntryHostShares) {
    /** Adds [announcements], removes outdated ones, and removes the loads of endpoints that are no longer known. */
    fun mergeAnnouncements(state: RoutingState, announcements: List<AgedAnnouncement>, nowMillis: Long): RoutingState {
        val registry = state.registry.merge(announcements, nowMillis).removeOld(nowMillis)
        val gone = state.loads.keys.filter { it !in registry.known }
        return state.copy(
            registry = registry,
            loads = gone.fold(state.loads) { rest, endpoint -> rest.remove(endpoint) },
        )
    }

    /** Returns the endpoints of [service] that this host may use, without ejected ones. */
    fun candidates(state: RoutingState, service: ServiceName, nowMillis: Long): List<Candidate> {
        val usable = state.registry.live(service, nowMillis)
            .map { Candidate(it, state.load(it), limit(it)) }
            .filter { it.limit > 0 }
        return EndpointChoice.withoutEjected(usable, nowMillis)
    }

    /** Returns how many concurrent requests this host may have at the endpoint. */
    fun limit(endpoint: KnownEndpoint): Int = shares.requestLimit(endpoint.announcement)

    /** Takes a slot for [service]; one at an [avoided] endpoint only as a last resort. Null if no slot is free. */
    fun acquire(
        state: RoutingState,
        service: ServiceName,
        avoided: Set<EndpointName>,
        nowMillis: Long,
        random: Random,
    ): Transition<RoutingState, SlotGrant?> {
        val candidates = candidates(state, service, nowMillis)
        val preferred = candidates.filter { it.endpoint.announcement.endpoint !in avoided }
        val chosen = EndpointChoice.choose(preferred, nowMillis, random)
            ?: EndpointChoice.choose(candidates, nowMillis, random)
        return if (chosen == null) Transition(state, null) else takeSlot(state, chosen)
    }

    /** Releases the slot of [grant]. Has no effect if the endpoint has restarted or is gone since. */
    fun release(state: RoutingState, grant: SlotGrant, end: AttemptEnd, nowMillis: Long): RoutingState {
        val load = state.loads[grant.endpoint]
        return if (load == null || load.epochMillis != grant.epochMillis) {
            state
        } else {
            state.copy(loads = state.loads.put(grant.endpoint, load.endAttempt(end, nowMillis)))
        }
    }

    /** Assigns a free slot of [service] to the next queued request; null if there is no slot or no request. */
    fun admitNext(
        state: RoutingState,
        service: ServiceName,
        nowMillis: Long,
        random: Random,
    ): Transition<RoutingState, Admission?> {
        val (queue, request, expired) = state.queue(service).take(nowMillis)
        val acquired = request?.let { acquire(state, service, emptySet(), nowMillis, random) }
        val grant = acquired?.result
        return if (grant == null || request == null) {
            Transition(state, null)
        } else {
            Transition(acquired.state.withQueue(service, queue), Admission(request, grant, expired))
        }
    }

    /** Offers [request] to the queue of [service], which holds at most [maxQueue] requests. */
    fun enqueue(
        state: RoutingState,
        service: ServiceName,
        request: QueuedRequest,
        maxQueue: Int,
        nowMillis: Long,
    ): Transition<RoutingState, OfferResult> {
        val millisPerRequest = millisPerRequest(candidates(state, service, nowMillis))
        return when (val result = state.queue(service).offer(request, maxQueue, millisPerRequest, nowMillis)) {
            is OfferResult.Queued -> Transition(state.withQueue(service, result.queue), result)
            else -> Transition(state, result)
        }
    }

    /** Returns the free slots and queued requests of this host for each service with live endpoints, for gossip. */
    fun serviceLoads(state: RoutingState, nowMillis: Long): List<ServiceLoad> =
        state.registry.services(nowMillis).map { service ->
            val free = candidates(state, service, nowMillis).sumOf { it.freeSlots(nowMillis) }
            ServiceLoad(service.value, free, state.queue(service).size)
        }

    private fun takeSlot(state: RoutingState, chosen: Candidate): Transition<RoutingState, SlotGrant> {
        val announcement = chosen.endpoint.announcement
        val grant = SlotGrant(
            announcement.endpoint,
            announcement.service,
            announcement.address,
            announcement.epochMillis,
            shares.openConnectionLimit(announcement),
        )
        return Transition(state.copy(loads = state.loads.put(grant.endpoint, chosen.load.startAttempt())), grant)
    }

    /** Returns the mean time between two slots that become free; 0 as long as no latency was measured. */
    private fun millisPerRequest(candidates: List<Candidate>): Double {
        val measured = candidates.filter { it.load.latencyMillis > 0.0 }
        val slots = candidates.sumOf { it.limit }
        return if (measured.isEmpty() || slots == 0) 0.0 else measured.map { it.load.latencyMillis }.average() / slots
    }
}
