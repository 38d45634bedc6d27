package org.auburnlever.host

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.auburnlever.observe.Dumpable
import org.auburnlever.peer.DomainCapacity
import org.auburnlever.peer.GroupLeader
import org.auburnlever.peer.GroupName
import org.auburnlever.peer.PeerMessage
import org.auburnlever.world.DomainName
import org.auburnlever.world.HostName
import java.util.concurrent.ConcurrentHashMap

/** What this host learned from the gossip of others; read without locks. */
internal class ClusterView : Dumpable {
    private val gossipByHost = ConcurrentHashMap<HostName, PeerMessage.Gossip>()
    private val leaderByGroup = ConcurrentHashMap<GroupName, GroupLeader>()

    /** The newest gossip of each host. */
    val gossip: Map<HostName, PeerMessage.Gossip> get() = gossipByHost

    /** The leader of [group] with the highest term heard of. */
    fun leader(group: GroupName): GroupLeader? = leaderByGroup[group]

    /** All known leaders. */
    fun leaders(): Map<GroupName, GroupLeader> = leaderByGroup.toMap()

    /** Takes in the gossip of a host. */
    fun record(gossip: PeerMessage.Gossip) {
        gossipByHost[gossip.host] = gossip
        gossip.leaders.forEach { (group, leader) -> recordLeader(group, leader) }
    }

    /** Takes in who leads [group]; an older term changes nothing. */
    fun recordLeader(group: GroupName, leader: GroupLeader) {
        leaderByGroup.merge(group, leader) { old, new -> if (new.term >= old.term) new else old }
    }

    /** Bundle version in force on each other host. */
    fun bundleVersions(): Map<HostName, Long> = gossipByHost.mapValues { it.value.bundleVersion }

    override fun dump(): JsonElement = buildJsonObject {
        leaderByGroup.forEach { (group, leader) -> put(group.value, "${leader.leader} in term ${leader.term}") }
        gossipByHost.forEach { (host, gossip) -> put("bundle version of $host", gossip.bundleVersion) }
    }

    /** Accelerators of each failure domain, as the leader of its ledger reported them last. */
    fun capacities(): Map<DomainName, DomainCapacity> =
        gossipByHost.values.mapNotNull { gossip -> gossip.capacity?.takeIf { isLeader(gossip.host, it) } }
            .associateBy { DomainName(it.domain) }

    private fun isLeader(host: HostName, capacity: DomainCapacity): Boolean =
        leaderByGroup[ledgerGroup(DomainName(capacity.domain))]?.leader == host
}
