package org.auburnlever.transport

import org.auburnlever.world.DomainName
import org.auburnlever.world.HostName
import org.auburnlever.world.RegionName

/** A host of the system as the settings name it. */
data class Peer(
    val host: HostName,
    val region: RegionName,
    val failureDomain: DomainName,
    val address: String,
    val port: Int,
)

/** All hosts of the system and which of them can be reached now. */
interface PeerDirectory {
    /** This host. */
    val self: Peer

    /** All other hosts. */
    val others: List<Peer>

    /** Hosts with a live link. */
    fun reachable(): Set<HostName>
}
