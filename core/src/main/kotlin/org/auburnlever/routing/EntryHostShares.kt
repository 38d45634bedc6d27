package org.auburnlever.routing

import org.auburnlever.model.HostName
import org.auburnlever.wire.EndpointAnnouncement

/**
 * Divides the slots and connections of an endpoint among the entry hosts of its failure domain.
 *
 * The shares depend on the configured hosts alone, so all hosts compute the same division without communication. The
 * hosts that get the remainder of a division differ by endpoint. The shares of all hosts add up to the announced
 * number.
 */
class EntryHostShares(entryHosts: Collection<HostName>, self: HostName) {
    private val hostCount: Int
    private val hostIndex: Int

    init {
        val names = (entryHosts + self).map { it.value }.distinct().sorted()
        hostCount = names.size
        hostIndex = names.indexOf(self.value)
    }

    /** Returns how many concurrent requests this host may have at the endpoint. */
    fun requestLimit(announcement: EndpointAnnouncement): Int {
        val connections = share(announcement, announcement.connections)
        val minimum = if (connections >= MIN_CONNECTIONS) 1 else 0
        val limitByConnections = (connections / CONNECTIONS_PER_REQUEST).coerceAtLeast(minimum)
        return minOf(share(announcement, announcement.slots), limitByConnections)
    }

    /**
     * Returns how many connections to the endpoint may be open when a request begins. Since every running request opens
     * at most one more, the number of connections never exceeds this host's share.
     */
    fun openConnectionLimit(announcement: EndpointAnnouncement): Int =
        share(announcement, announcement.connections) - requestLimit(announcement)

    /** Returns this host's part of [total], the slots or connections of the announced endpoint. */
    fun share(announcement: EndpointAnnouncement, total: Int): Int {
        val rank = Math.floorMod(hostIndex + announcement.endpoint.value.hashCode(), hostCount)
        val extra = if (rank < total % hostCount) 1 else 0
        return total / hostCount + extra
    }

    private companion object {
        /**
         * Connections reserved for each request: one kept alive and one for a single use, each doubled, because a
         * connection returns to the pool or closes shortly after its answer, when the next request may have begun.
         */
        const val CONNECTIONS_PER_REQUEST = 4

        /** Least share that allows a request: one connection that carries it and one that is still idle or closing. */
        const val MIN_CONNECTIONS = 2
    }
}
