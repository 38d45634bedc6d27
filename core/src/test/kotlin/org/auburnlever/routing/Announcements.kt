package org.auburnlever.routing

import org.auburnlever.peer.AgedAnnouncement
import org.auburnlever.wire.EndpointAnnouncement
import org.auburnlever.world.DomainName
import org.auburnlever.world.EndpointName
import org.auburnlever.world.HostName
import org.auburnlever.world.ServiceName

internal val SERVICE = ServiceName("tagging")

internal fun agedAnnouncement(
    name: String = "minion-1",
    sequence: Long = 1,
    epochMillis: Long = 1,
    leaving: Boolean = false,
    ageMillis: Long = 0,
) = AgedAnnouncement(
    EndpointAnnouncement(
        endpoint = EndpointName(name),
        service = SERVICE,
        failureDomain = DomainName("luzon-batangas"),
        address = "10.0.0.1:8000",
        epochMillis = epochMillis,
        sequence = sequence,
        leaving = leaving,
    ),
    ageMillis,
)

internal fun entryHosts(count: Int) = List(count) { HostName("entry-$it") }
