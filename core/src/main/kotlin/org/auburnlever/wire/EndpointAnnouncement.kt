package org.auburnlever.wire

import kotlinx.serialization.Serializable
import org.auburnlever.world.DomainName
import org.auburnlever.world.EndpointName
import org.auburnlever.world.ServiceName

/**
 * What an endpoint says about itself each second.
 *
 * [epochMillis] is the time of the endpoint's start by its own clock and [sequence] grows with each announcement; the
 * pair orders announcements of one endpoint. [address] is `IP:port`. [uptimeMillis] is the time since the endpoint's
 * start by its monotonic clock when it sent the announcement; with it, entry hosts notice announcements that were on
 * their way for long.
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

/** Answer to an [EndpointAnnouncement]: when to announce again at the latest. */
@Serializable
data class AnnouncementReply(val announceAgainMillis: Long)
