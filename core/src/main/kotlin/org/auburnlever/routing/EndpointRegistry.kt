package org.auburnlever.routing

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.auburnlever.model.EndpointName
import org.auburnlever.model.ServiceName
import org.auburnlever.peer.AgedAnnouncement
import org.auburnlever.wire.EndpointAnnouncement

/** An announcement and the time by this host's clock at which the endpoint sent it. */
data class KnownEndpoint(val announcement: EndpointAnnouncement, val sentAtMillis: Long) {
    /** Says whether the endpoint may receive new requests. */
    fun isLive(nowMillis: Long): Boolean =
        !announcement.leaving && nowMillis - sentAtMillis < EndpointRegistry.EXPIRY_MILLIS
}

/**
 * Immutable registry of the announcements of a failure domain's endpoints.
 *
 * Of two announcements of one endpoint, the one with the higher epoch and sequence is kept. Expired announcements and
 * tombstones (announcements of leaving endpoints) are retained for [RETENTION_MILLIS], so that a delayed older
 * announcement cannot bring an endpoint back. The result does not depend on the order in which announcements arrive.
 */
class EndpointRegistry private constructor(private val entries: PersistentMap<EndpointName, KnownEndpoint>) {
    /** All retained announcements by endpoint, including expired ones and tombstones. */
    val known: Map<EndpointName, KnownEndpoint> get() = entries

    /** Adds an announcement unless a newer one of the endpoint is known or it is past its retention. */
    fun add(aged: AgedAnnouncement, nowMillis: Long): EndpointRegistry {
        val entry = KnownEndpoint(aged.announcement, nowMillis - aged.ageMillis.coerceAtLeast(0))
        val current = entries[aged.announcement.endpoint]
        val tooOld = aged.ageMillis >= RETENTION_MILLIS
        return when {
            tooOld -> this
            current != null && ORDER.compare(entry, current) <= 0 -> this
            else -> EndpointRegistry(entries.put(aged.announcement.endpoint, entry))
        }
    }

    /** Adds the announcements that another entry host sent. */
    fun merge(announcements: List<AgedAnnouncement>, nowMillis: Long): EndpointRegistry =
        announcements.fold(this) { registry, aged -> registry.add(aged, nowMillis) }

    /** Removes entries past their retention, when no older announcement can still be on its way. */
    fun removeOld(nowMillis: Long): EndpointRegistry {
        val old = entries.filterValues { nowMillis - it.sentAtMillis >= RETENTION_MILLIS }.keys
        return if (old.isEmpty()) this else EndpointRegistry(old.fold(entries) { rest, name -> rest.remove(name) })
    }

    /** Returns the endpoints of [service] that may receive new requests. */
    fun live(service: ServiceName, nowMillis: Long): List<KnownEndpoint> =
        entries.values.filter { it.announcement.service == service && it.isLive(nowMillis) }

    /** Returns the services with at least one live endpoint. */
    fun services(nowMillis: Long): Set<ServiceName> =
        entries.values.filter { it.isLive(nowMillis) }.mapTo(mutableSetOf()) { it.announcement.service }

    /**
     * Returns the announcements to send to other entry hosts: live ones, and tombstones as long as an older
     * announcement may still be live elsewhere.
     */
    fun toGossip(nowMillis: Long): List<AgedAnnouncement> =
        entries.values
            .map { AgedAnnouncement(it.announcement, nowMillis - it.sentAtMillis) }
            .filter { it.ageMillis < if (it.announcement.leaving) TOMBSTONE_GOSSIP_MILLIS else EXPIRY_MILLIS }

    companion object {
        /** Time after it sent its last announcement for which an endpoint may receive new requests. */
        const val EXPIRY_MILLIS = 3_000L

        /** Time for which tombstones are gossiped; several times the expiry, to allow for lost gossip messages. */
        const val TOMBSTONE_GOSSIP_MILLIS = 15_000L

        /** Time for which an entry is retained; far longer than a message can spend on a link. */
        const val RETENTION_MILLIS = 60_000L

        /** The empty registry. */
        val EMPTY = EndpointRegistry(persistentHashMapOf())

        /**
         * Orders announcements of one endpoint from older to newer. Copies of one announcement that arrive over
         * several paths differ only by their transit time, which makes them look younger, so the copy with the
         * earliest sending time is the most accurate one.
         */
        private val ORDER = compareBy<KnownEndpoint>(
            { it.announcement.epochMillis },
            { it.announcement.sequence },
            { it.announcement.leaving },
            { -it.sentAtMillis },
            { it.announcement.toString() },
        )
    }
}
