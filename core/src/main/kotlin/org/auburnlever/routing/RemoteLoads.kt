package org.auburnlever.routing

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.auburnlever.model.DomainName
import org.auburnlever.model.HostName
import org.auburnlever.model.RegionName
import org.auburnlever.model.ServiceName
import org.auburnlever.peer.ServiceLoad
import kotlin.random.Random

/** An entry host with its region and failure domain. */
data class HostLocation(val host: HostName, val region: RegionName, val failureDomain: DomainName)

/** Last load that an entry host of another failure domain reported, and when the report arrived. */
data class RemoteLoad(
    val location: HostLocation,
    val loadByService: Map<ServiceName, ServiceLoad>,
    val receivedAtMillis: Long,
    val forwardedInFlight: Int = 0,
) {
    /** Returns the reported free slots of [service] less the requests forwarded to the host that have no answer yet. */
    fun freeSlots(service: ServiceName): Int = (loadByService[service]?.freeSlots ?: 0) - forwardedInFlight
}

/** Immutable table of the loads that entry hosts in other failure domains report. */
class RemoteLoads private constructor(private val hosts: PersistentMap<HostName, RemoteLoad>) {
    /** Last report of each host. */
    val known: Map<HostName, RemoteLoad> get() = hosts

    /** Replaces the reported loads of the host at [location]. */
    fun record(location: HostLocation, loads: List<ServiceLoad>, nowMillis: Long): RemoteLoads {
        val forwardedInFlight = hosts[location.host]?.forwardedInFlight ?: 0
        val loadByService = loads.associateBy { ServiceName(it.service) }
        return RemoteLoads(hosts.put(location.host, RemoteLoad(location, loadByService, nowMillis, forwardedInFlight)))
    }

    /** Adds [change], 1 or -1, to the number of requests that were forwarded to [host] and have no answer yet. */
    fun addForwarded(host: HostName, change: Int): RemoteLoads {
        val load = hosts[host] ?: return this
        return RemoteLoads(hosts.put(host, load.copy(forwardedInFlight = load.forwardedInFlight + change)))
    }

    /**
     * Returns the host to forward a request to, or null if none is eligible.
     *
     * Only hosts in other failure domains that report [service] and are [usable] are considered. Those in the region of
     * [self] are preferred; of two random ones, the one with more free slots is chosen. A host without a free slot is
     * eligible only if no host has one and [waitAllowed] is set; the request then waits in that host's queue.
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

    /** Says whether the last report of [host] is recent enough to forward requests to it. */
    fun isRecent(host: HostName, nowMillis: Long): Boolean =
        hosts[host]?.let { nowMillis - it.receivedAtMillis < EXPIRY_MILLIS } ?: false

    private fun chooseWithMoreFreeSlots(hosts: List<RemoteLoad>, service: ServiceName, random: Random): RemoteLoad? =
        if (hosts.isEmpty()) {
            null
        } else {
            maxOf(hosts.random(random), hosts.random(random), compareBy { it.freeSlots(service) })
        }

    companion object {
        /** Validity of a report: six gossip intervals of 500 ms, the same as for an endpoint's announcement. */
        const val EXPIRY_MILLIS = 3_000L

        /** The table before the first report. */
        val EMPTY = RemoteLoads(persistentHashMapOf())
    }
}
