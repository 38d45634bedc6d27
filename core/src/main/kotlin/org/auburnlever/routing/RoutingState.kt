package org.auburnlever.routing

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.auburnlever.world.EndpointName
import org.auburnlever.world.ServiceName

/** A new state and what came of the change. A driver publishes [state] by compare-and-set and then acts on [result]. */
data class Transition<out S, out R>(val state: S, val result: R)

/**
 * The right to send one request to [endpoint], valid for its start at [epochMillis], while at most
 * [openConnectionLimit] connections to it are open.
 */
data class SlotGrant(
    val endpoint: EndpointName,
    val service: ServiceName,
    val address: String,
    val epochMillis: Long,
    val openConnectionLimit: Int,
)

/** A waiting request whose turn has come, and the requests before it whose deadline has passed. */
data class Admission(val request: QueuedRequest, val grant: SlotGrant, val expired: List<QueuedRequest>)

/**
 * All that an entry host decides about endpoints of its own failure domain, as one immutable value.
 *
 * A driver keeps it in an atomic reference; each change is a function of the current value and can be repeated when
 * another thread was faster. Reading needs no lock.
 */
data class RoutingState(
    val registry: EndpointRegistry = EndpointRegistry.EMPTY,
    val loads: PersistentMap<EndpointName, EndpointLoad> = persistentHashMapOf(),
    val queues: PersistentMap<ServiceName, AdmissionQueue> = persistentHashMapOf(),
    val retries: RetryBudget = RetryBudget(),
) {
    /** This host's load on [endpoint]; a restarted endpoint begins without load. */
    fun load(endpoint: KnownEndpoint): EndpointLoad {
        val epochMillis = endpoint.announcement.epochMillis
        return loads[endpoint.announcement.endpoint]?.takeIf { it.epochMillis == epochMillis }
            ?: EndpointLoad(epochMillis)
    }

    /** The queue of [service]. */
    fun queue(service: ServiceName): AdmissionQueue = queues[service] ?: AdmissionQueue.EMPTY

    /** The same state with another queue of [service]. */
    fun withQueue(service: ServiceName, queue: AdmissionQueue): RoutingState =
        copy(queues = queues.put(service, queue))

    /** Takes a waiting request out of the queue of [service]; no change if it does not wait any more. */
    fun withoutRequest(service: ServiceName, request: QueuedRequest): RoutingState =
        queue(service).remove(request.account, request.id)?.let { withQueue(service, it) } ?: this
}
