package org.auburnlever.routing

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.auburnlever.model.EndpointName
import org.auburnlever.model.ServiceName

/**
 * A new [state] and the [result] of the change. The caller publishes the state by compare-and-set and acts on the
 * result only then.
 */
data class Transition<out S, out R>(val state: S, val result: R)

/**
 * Permission to send one request to [endpoint] if at most [openConnectionLimit] connections to it are open.
 *
 * [epochMillis] is the start of the endpoint's process that the grant is for.
 */
data class SlotGrant(
    val endpoint: EndpointName,
    val service: ServiceName,
    val address: String,
    val epochMillis: Long,
    val openConnectionLimit: Int,
)

/** A queued request that got a slot, and the requests that were removed because their deadline had passed. */
data class Admission(val request: QueuedRequest, val grant: SlotGrant, val expired: List<QueuedRequest>)

/**
 * Immutable routing state of an entry host: endpoints of its own failure domain, load on them, queues and retries.
 *
 * The owner keeps it in an atomic reference. Each change is a pure function of the current value and is repeated when
 * another thread updated the reference first. Reading needs no lock.
 */
data class RoutingState(
    val registry: EndpointRegistry = EndpointRegistry.EMPTY,
    val loads: PersistentMap<EndpointName, EndpointLoad> = persistentHashMapOf(),
    val queues: PersistentMap<ServiceName, AdmissionQueue> = persistentHashMapOf(),
    val retries: RetryBudget = RetryBudget(),
) {
    /** Returns this host's load on [endpoint]; a restarted endpoint begins without load. */
    fun load(endpoint: KnownEndpoint): EndpointLoad {
        val epochMillis = endpoint.announcement.epochMillis
        return loads[endpoint.announcement.endpoint]?.takeIf { it.epochMillis == epochMillis }
            ?: EndpointLoad(epochMillis)
    }

    /** Returns the queue of [service]. */
    fun queue(service: ServiceName): AdmissionQueue = queues[service] ?: AdmissionQueue.EMPTY

    /** Returns the state with the queue of [service] replaced by [queue]. */
    fun withQueue(service: ServiceName, queue: AdmissionQueue): RoutingState =
        copy(queues = queues.put(service, queue))

    /** Returns the state with [request] removed from the queue of [service]; unchanged if it is no longer queued. */
    fun withoutRequest(service: ServiceName, request: QueuedRequest): RoutingState =
        queue(service).remove(request.account, request.id)?.let { withQueue(service, it) } ?: this
}
