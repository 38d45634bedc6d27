package org.auburnlever.routing

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.auburnlever.peer.AgedAnnouncement
import org.auburnlever.wire.EndpointAnnouncement
import org.auburnlever.world.EndpointName
import org.auburnlever.world.ServiceName

/** An announcement with the time, by this host's clock, at which the endpoint sent it. */
data class KnownEndpoint(val announcement: EndpointAnnouncement, val sentAtMillis: Long) {
    /** Says whether the endpoint may receive new requests. */
    fun isLive(nowMillis: Long): Boolean =
        !announcement.leaving && nowMillis - sentAtMillis < EndpointRegistry.EXPIRY_MILLIS
}

/**
 * The announcements of a failure domain's endpoints, immutable.
 *
 * Of two announcements of one endpoint the later by epoch and sequence wins. Expired and leaving ones are kept for
 * [RETENTION_MILLIS], so that a delayed older announcement cannot bring an endpoint back. The result does not depend
 * on the order in which announcements are heard.
 */
class EndpointRegistry private constructor(private val entries: PersistentMap<EndpointName, KnownEndpoint>) {
    /** All announcements that are still kept, by endpoint. */
    val known: Map<EndpointName, KnownEndpoint> get() = entries

    /** Adds an announcement that the endpoint sent `ageMillis` ago. */
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

    /** Adds the announcements that another entry host knows. */
    fun merge(announcements: List<AgedAnnouncement>, nowMillis: Long): EndpointRegistry =
        announcements.fold(this) { registry, aged -> registry.add(aged, nowMillis) }

    /** Drops the entries that no delayed announcement can contradict any more. */
    fun removeOld(nowMillis: Long): EndpointRegistry {
        val old = entries.filterValues { nowMillis - it.sentAtMillis >= RETENTION_MILLIS }.keys
        return if (old.isEmpty()) this else EndpointRegistry(old.fold(entries) { rest, name -> rest.remove(name) })
    }

    /** Endpoints of [service] that may receive new requests. */
    fun live(service: ServiceName, nowMillis: Long): List<KnownEndpoint> =
        entries.values.filter { it.announcement.service == service && it.isLive(nowMillis) }

    /** Services with at least one live endpoint. */
    fun services(nowMillis: Long): Set<ServiceName> =
        entries.values.filter { it.isLive(nowMillis) }.mapTo(mutableSetOf()) { it.announcement.service }

    /** Announcements for other entry hosts: live ones, and leaving ones while an older one may still be live. */
    fun toGossip(nowMillis: Long): List<AgedAnnouncement> =
        entries.values
            .map { AgedAnnouncement(it.announcement, nowMillis - it.sentAtMillis) }
            .filter { it.ageMillis < if (it.announcement.leaving) TOMBSTONE_GOSSIP_MILLIS else EXPIRY_MILLIS }

    companion object {
        /** Time after which an endpoint without news receives nothing, counted from when it sent its announcement. */
        const val EXPIRY_MILLIS = 3_000L

        /** Time for which tombstones are gossiped; several times the expiry, to cover lost gossip. */
        const val TOMBSTONE_GOSSIP_MILLIS = 15_000L

        /** Time for which an entry is kept; far above the time that a message can spend on a link. */
        const val RETENTION_MILLIS = 60_000L

        /** A registry without endpoints. */
        val EMPTY = EndpointRegistry(persistentHashMapOf())

        /**
         * Equal announcements heard over several ways differ only by transit time, which makes them look younger, so
         * the earliest sending time is nearest to the truth.
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
