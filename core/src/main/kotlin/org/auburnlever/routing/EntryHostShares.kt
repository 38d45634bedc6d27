package org.auburnlever.routing

import org.auburnlever.wire.EndpointAnnouncement
import org.auburnlever.world.HostName

/**
 * Divides the slots and connections of an endpoint among the entry hosts of its failure domain.
 *
 * The division follows from the configured hosts alone, so hosts agree on it without talking to each other. What does
 * not divide evenly goes to hosts that differ by endpoint. The shares of all hosts add up to the announced number.
 */
class EntryHostShares(entryHosts: Collection<HostName>, self: HostName) {
    private val hostCount: Int
    private val hostIndex: Int

    init {
        val names = (entryHosts + self).map { it.value }.distinct().sorted()
        hostCount = names.size
        hostIndex = names.indexOf(self.value)
    }

    /** Requests that this host may have at the endpoint at one time. */
    fun requestLimit(announcement: EndpointAnnouncement): Int {
        val connections = share(announcement, announcement.connections)
        val minimum = if (connections >= MIN_CONNECTIONS) 1 else 0
        val limitByConnections = (connections / CONNECTIONS_PER_REQUEST).coerceAtLeast(minimum)
        return minOf(share(announcement, announcement.slots), limitByConnections)
    }

    /**
     * Connections that may be open when a request begins. As every running request opens at most one more, their
     * number never exceeds this host's share.
     */
    fun openConnectionLimit(announcement: EndpointAnnouncement): Int =
        share(announcement, announcement.connections) - requestLimit(announcement)

    /** This host's part of [total]. */
    fun share(announcement: EndpointAnnouncement, total: Int): Int {
        val rank = Math.floorMod(hostIndex + announcement.endpoint.value.hashCode(), hostCount)
        val extra = if (rank < total % hostCount) 1 else 0
        return total / hostCount + extra
    }

    private companion object {
        /**
         * Connections for each request: kept-alive and single-use ones, and each kind once more, because a connection
         * returns to the pool or closes a moment after its answer, when the next request may have begun.
         */
        const val CONNECTIONS_PER_REQUEST = 4

        /** One connection that runs a request and one that is still idle or closing. */
        const val MIN_CONNECTIONS = 2
    }
}
