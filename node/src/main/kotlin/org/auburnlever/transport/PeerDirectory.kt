package org.auburnlever.transport

import org.auburnlever.model.DomainName
import org.auburnlever.model.HostName
import org.auburnlever.model.RegionName

/** A host of the deployment, with the address and port on which it accepts links. */
data class Peer(
    val host: HostName,
    val region: RegionName,
    val failureDomain: DomainName,
    val address: String,
    val port: Int,
)

/** Lists the hosts of the deployment and those that are reachable now. */
interface PeerDirectory {
    /** This host. */
    val self: Peer

    /** All other hosts. */
    val others: List<Peer>

    /** Returns the hosts with an open link on which a frame arrived recently. */
    fun reachable(): Set<HostName>
}
