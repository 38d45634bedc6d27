package org.auburnlever.wire

import kotlinx.serialization.Serializable
import org.auburnlever.model.DomainName
import org.auburnlever.model.EndpointName
import org.auburnlever.model.ServiceName

/**
 * Announcement that an endpoint sends each second.
 *
 * [epochMillis] is the start time of the endpoint's process by its own clock and [sequence] increases with each
 * announcement; the pair orders the announcements of one endpoint. [address] is `IP:port`. [uptimeMillis] is the time
 * since the start by the endpoint's monotonic clock when it sent the announcement; with it, entry hosts detect
 * announcements that were delayed in transit.
 */
@Serializable
data class EndpointAnnouncement(
    val endpoint: EndpointName,
    val service: ServiceName,
    val failureDomain: DomainName,
    val address: String,
    val slots: Int = 8,
    val connections: Int = 64,
    val epochMillis: Long,
    val sequence: Long,
    val leaving: Boolean = false,
    val uptimeMillis: Long? = null,
)

/** Answer to an [EndpointAnnouncement]: the time within which the endpoint has to send the next one. */
@Serializable
data class AnnouncementReply(val announceAgainMillis: Long)
