package org.auburnlever.routing

import org.auburnlever.model.DomainName
import org.auburnlever.model.EndpointName
import org.auburnlever.model.HostName
import org.auburnlever.model.ServiceName
import org.auburnlever.peer.AgedAnnouncement
import org.auburnlever.wire.EndpointAnnouncement

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
