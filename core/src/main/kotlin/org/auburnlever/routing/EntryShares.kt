package org.auburnlever.routing

import org.auburnlever.wire.EndpointAnnouncement
import org.auburnlever.world.HostName

/**
 * Divides the slots and connections of an endpoint among the entry hosts of its failure domain.
 *
 * The division follows from the configured hosts alone, so hosts agree on it without talking to each other. What does
 * not divide evenly goes to hosts that differ by endpoint. The shares of all hosts add up to the announced number.
 */
class EntryShares(entryHosts: Collection<HostName>, self: HostName) {
    private val count: Int
    private val index: Int

    init {
        val names = (entryHosts + self).map { it.value }.distinct().sorted()
        count = names.size
        index = names.indexOf(self.value)
    }

    /** Requests that this host may have at the endpoint at one time. */
    fun requestLimit(announcement: EndpointAnnouncement): Int =
        minOf(share(announcement, announcement.slots), share(announcement, announcement.connections) / POOLS)

    /** This host's part of [total]. */
    fun share(announcement: EndpointAnnouncement, total: Int): Int {
        val turn = Math.floorMod(index + announcement.endpoint.value.hashCode(), count)
        val extra = if (turn < total % count) 1 else 0
        return total / count + extra
    }

    private companion object {
        /**
         * A request that is not repeatable gets a new connection while kept-alive ones may be idle, so the connections
         * are at most twice the requests.
         */
        const val POOLS = 2
    }
}
