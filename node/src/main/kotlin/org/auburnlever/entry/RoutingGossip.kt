package org.auburnlever.entry

import org.auburnlever.model.DomainName
import org.auburnlever.model.HostName
import org.auburnlever.peer.AgedAnnouncement
import org.auburnlever.peer.ServiceLoad
import org.auburnlever.routing.TransitTimes
import java.util.concurrent.ConcurrentHashMap

/**
 * Provides and receives the routing part of the gossip between hosts: announcements within a failure domain, and loads
 * between domains. [clock] returns monotonic milliseconds.
 */
class RoutingGossip(
    private val routing: DomainRouting,
    private val forwarder: Forwarder,
    private val dispatcher: Dispatcher,
    private val failureDomain: DomainName,
    private val clock: () -> Long,
) {
    private val transitTimes = AtomicState(TransitTimes.EMPTY)
    private val lastSentMillis = ConcurrentHashMap<HostName, Long>()

    /** Returns the announcements to send, with their ages. */
    fun announcements(): List<AgedAnnouncement> = routing.announcements()

    /** Returns the loads to send; empty while this host shuts down, so that other hosts forward nothing to it. */
    fun loads(): List<ServiceLoad> = if (dispatcher.isClosed) emptyList() else routing.serviceLoads()

    /**
     * Processes gossip from [host], sent at [sentMillis] by its monotonic clock. The transit time is added to the ages
     * of the announcements; otherwise a delayed message would keep a leaving endpoint in use for too long.
     */
    fun receive(host: HostName, sentMillis: Long?, announcements: List<AgedAnnouncement>, loads: List<ServiceLoad>) {
        val transitMillis = sentMillis?.let { transit(host, it) } ?: 0
        val own = announcements.filter { it.announcement.failureDomain == failureDomain }
        routing.mergeAnnouncements(own.map { it.copy(ageMillis = it.ageMillis + transitMillis) })
        forwarder.updateLoads(host, loads)
    }

    private fun transit(host: HostName, sentMillis: Long): Long {
        val previous = lastSentMillis.put(host, sentMillis) ?: sentMillis
        val restarted = sentMillis < previous - RESTART_THRESHOLD_MILLIS
        return transitTimes.change {
            val times = if (restarted) it.remove(host.value) else it
            times.record(host.value, sentMillis, clock())
        }
    }

    private companion object {
        /**
         * A sender whose monotonic clock goes back by more has restarted. Gossip cannot be delayed that long, because
         * a link without traffic is closed after 2 s.
         */
        const val RESTART_THRESHOLD_MILLIS = 10_000L
    }
}
