package org.auburnlever.host

import org.auburnlever.entry.RoutingGossip
import org.auburnlever.ledger.LedgerState
import org.auburnlever.ledger.summary
import org.auburnlever.peer.DomainCapacity
import org.auburnlever.peer.GroupLeader
import org.auburnlever.peer.GroupName
import org.auburnlever.peer.PeerMessage
import org.auburnlever.transport.Peer
import org.auburnlever.transport.PeerTransport

/** Sends this host's state and the leaders that it knows to all other hosts. */
internal class GossipSender(
    private val transport: PeerTransport,
    private val groups: HostGroups,
    private val cluster: ClusterView,
    private val activeBundle: ActiveBundle,
    private val routing: RoutingGossip,
    private val clock: HostClock,
) {
    /** Tells this run of the process from earlier ones. */
    private val incarnation = clock.nowMillis()

    /** Sends one gossip message to each host. Only hosts of the own failure domain get the endpoint announcements. */
    fun send() {
        recordOwnLeaders()
        val basic = gossip()
        cluster.record(basic)
        val full = basic.copy(endpoints = routing.announcements())
        transport.others.forEach { peer -> transport.send(peer.host, if (isInOwnDomain(peer)) full else basic) }
    }

    private fun gossip() = PeerMessage.Gossip(
        host = transport.self.host,
        incarnation = incarnation,
        bundleVersion = activeBundle.version,
        bundleDigestHex = activeBundle.digestHex,
        endpoints = emptyList(),
        leaders = cluster.leaders(),
        loads = routing.loads(),
        capacity = capacity(),
        sentMillis = clock.nowMillis(),
        incarnations = groups.runners.associate { it.group to it.view.replica.incarnation },
    )

    private fun recordOwnLeaders() {
        groups.runners.forEach { runner ->
            val view = runner.view
            view.leader?.let { cluster.recordLeader(runner.group, GroupLeader(view.term, it.host)) }
        }
    }

    /** Returns the capacity of the own failure domain; null unless this host leads its ledger. */
    private fun capacity(): DomainCapacity? {
        val ledger = groups.ledgers[ownLedger()]?.runner?.view?.takeIf { it.isLeader } ?: return null
        return capacity(ledger.state)
    }

    private fun capacity(state: LedgerState): DomainCapacity {
        val summary = state.summary()
        return DomainCapacity(summary.failureDomain.value, summary.acceleratorsTotal, summary.acceleratorsFree)
    }

    private fun ownLedger(): GroupName = ledgerGroup(transport.self.failureDomain)

    private fun isInOwnDomain(peer: Peer): Boolean = peer.failureDomain == transport.self.failureDomain
}
