package org.auburnlever.host

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.auburnlever.model.DomainName
import org.auburnlever.model.HostName
import org.auburnlever.observe.Dumpable
import org.auburnlever.peer.DomainCapacity
import org.auburnlever.peer.GroupLeader
import org.auburnlever.peer.GroupName
import org.auburnlever.peer.PeerMessage
import java.util.concurrent.ConcurrentHashMap

/** Keeps what the gossip messages say about other hosts and about leaders of groups. Read without locks. */
internal class ClusterView : Dumpable {
    private val gossipByHost = ConcurrentHashMap<HostName, PeerMessage.Gossip>()
    private val leaderByGroup = ConcurrentHashMap<GroupName, GroupLeader>()

    /** The last gossip message of each host. */
    val gossip: Map<HostName, PeerMessage.Gossip> get() = gossipByHost

    /** Returns the leader of [group] in the highest known term; null if none is known. */
    fun leader(group: GroupName): GroupLeader? = leaderByGroup[group]

    /** Returns all known leaders. */
    fun leaders(): Map<GroupName, GroupLeader> = leaderByGroup.toMap()

    /** Stores the gossip of a host and the leaders that it names. */
    fun record(gossip: PeerMessage.Gossip) {
        gossipByHost[gossip.host] = gossip
        gossip.leaders.forEach { (group, leader) -> recordLeader(group, leader) }
    }

    /** Stores the leader of [group], unless a leader of a higher term is known. */
    fun recordLeader(group: GroupName, leader: GroupLeader) {
        leaderByGroup.merge(group, leader) { old, new -> if (new.term >= old.term) new else old }
    }

    /** Returns the version of the bundle in force on each host that has sent gossip. */
    fun bundleVersions(): Map<HostName, Long> = gossipByHost.mapValues { it.value.bundleVersion }

    override fun dump(): JsonElement = buildJsonObject {
        leaderByGroup.forEach { (group, leader) -> put(group.value, "${leader.leader} in term ${leader.term}") }
        gossipByHost.forEach { (host, gossip) -> put("bundle version of $host", gossip.bundleVersion) }
    }

    /** Returns the accelerators of each failure domain, as last reported by the known leader of its ledger. */
    fun capacities(): Map<DomainName, DomainCapacity> =
        gossipByHost.values.mapNotNull { gossip -> gossip.capacity?.takeIf { isLeader(gossip.host, it) } }
            .associateBy { DomainName(it.domain) }

    private fun isLeader(host: HostName, capacity: DomainCapacity): Boolean =
        leaderByGroup[ledgerGroup(DomainName(capacity.domain))]?.leader == host
}
