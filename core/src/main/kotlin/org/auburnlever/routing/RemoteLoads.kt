package org.auburnlever.routing

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.auburnlever.peer.ServiceLoad
import org.auburnlever.world.DomainName
import org.auburnlever.world.HostName
import org.auburnlever.world.RegionName
import org.auburnlever.world.ServiceName
import kotlin.random.Random

/** Location of an entry host. */
data class HostLocation(val host: HostName, val region: RegionName, val failureDomain: DomainName)

/** What an entry host of another failure domain said about its free slots, and when. */
data class RemoteLoad(
    val location: HostLocation,
    val loadByService: Map<ServiceName, ServiceLoad>,
    val receivedAtMillis: Long,
    val forwardedInFlight: Int = 0,
) {
    /** Free slots of [service] less the requests that were forwarded to the host and have no answer yet. */
    fun freeSlots(service: ServiceName): Int = (loadByService[service]?.freeSlots ?: 0) - forwardedInFlight
}

/** The loads of entry hosts in other failure domains, immutable. */
class RemoteLoads private constructor(private val hosts: PersistentMap<HostName, RemoteLoad>) {
    /** What each host said last. */
    val known: Map<HostName, RemoteLoad> get() = hosts

    /** Replaces what is known of [location]. */
    fun record(location: HostLocation, loads: List<ServiceLoad>, nowMillis: Long): RemoteLoads {
        val forwardedInFlight = hosts[location.host]?.forwardedInFlight ?: 0
        val loadByService = loads.associateBy { ServiceName(it.service) }
        return RemoteLoads(hosts.put(location.host, RemoteLoad(location, loadByService, nowMillis, forwardedInFlight)))
    }

    /** Counts requests without an answer that were forwarded to [host]; [change] is 1 or -1. */
    fun addForwarded(host: HostName, change: Int): RemoteLoads {
        val load = hosts[host] ?: return this
        return RemoteLoads(hosts.put(host, load.copy(forwardedInFlight = load.forwardedInFlight + change)))
    }

    /**
     * Returns the host to forward a request to: in another failure domain of the region of [self] if possible, else in
     * another region, and of two random ones the one with more free slots. With [waitAllowed], a host without a free
     * slot is used if no host has one; the request then waits in its queue.
     */
    fun choose(
        service: ServiceName,
        self: HostLocation,
        usable: (HostName) -> Boolean,
        waitAllowed: Boolean,
        random: Random,
    ): HostLocation? {
        val serving = hosts.values.filter {
            it.location.failureDomain != self.failureDomain && service in it.loadByService && usable(it.location.host)
        }
        val free = serving.filter { it.freeSlots(service) > 0 }
        val eligible = if (free.isEmpty() && waitAllowed) serving else free
        val near = eligible.filter { it.location.region == self.region }.ifEmpty { eligible }
        return chooseWithMoreFreeSlots(near.sortedBy { it.location.host.value }, service, random)?.location
    }

    /** Says whether what is known of [host] is recent enough to forward requests to it. */
    fun isRecent(host: HostName, nowMillis: Long): Boolean =
        hosts[host]?.let { nowMillis - it.receivedAtMillis < EXPIRY_MILLIS } ?: false

    private fun chooseWithMoreFreeSlots(hosts: List<RemoteLoad>, service: ServiceName, random: Random): RemoteLoad? =
        if (hosts.isEmpty()) {
            null
        } else {
            maxOf(hosts.random(random), hosts.random(random), compareBy { it.freeSlots(service) })
        }

    companion object {
        /** Six gossip intervals of 500 ms, as long as an endpoint's announcement is valid. */
        const val EXPIRY_MILLIS = 3_000L

        /** Loads before the first gossip. */
        val EMPTY = RemoteLoads(persistentHashMapOf())
    }
}
