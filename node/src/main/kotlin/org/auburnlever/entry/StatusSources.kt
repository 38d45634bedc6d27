package org.auburnlever.entry

import org.auburnlever.configuration.Bundle
import org.auburnlever.configuration.digestHex
import org.auburnlever.model.DomainName
import org.auburnlever.model.HostName
import org.auburnlever.peer.DomainCapacity
import org.auburnlever.peer.GroupLeader
import org.auburnlever.peer.GroupName
import org.auburnlever.transport.Peer
import org.auburnlever.transport.PeerDirectory
import org.auburnlever.wire.DomainStatus
import org.auburnlever.wire.GroupStatus
import org.auburnlever.wire.HostStatus
import org.auburnlever.wire.StatusView

/**
 * Collects what this host knows about the system into a status, from sources that are read anew each time.
 *
 * [groups] are all groups in the settings; [bundleVersions], [leaders] and [capacities] come from gossip and from this
 * host itself.
 */
class StatusSources(
    private val directory: PeerDirectory,
    private val groups: List<GroupName>,
    private val inForce: () -> Bundle?,
    private val bundleVersions: () -> Map<HostName, Long>,
    private val leaders: () -> Map<GroupName, GroupLeader>,
    private val capacities: () -> Map<DomainName, DomainCapacity>,
) {
    /** Returns the failure domains of all hosts, ordered by the names of their hosts. */
    fun failureDomains(): List<DomainName> = hosts().map { it.failureDomain }.distinct()

    /** Returns the current status; [readings] are the summaries of the ledgers. */
    fun status(readings: List<LedgerReader.Reading>): StatusView {
        val bundle = inForce()
        val hosts = hostStatus(bundle)
        return StatusView(
            host = directory.self.host,
            region = directory.self.region,
            failureDomain = directory.self.failureDomain,
            bundleVersion = bundle?.version ?: 0,
            bundleDigestHex = bundle?.digestHex(),
            hosts = hosts,
            groups = groupStatus(),
            failureDomains = failureDomains().map { domain ->
                domainStatus(domain, hosts, readings.firstOrNull { it.failureDomain == domain })
            },
        )
    }

    private fun hosts(): List<Peer> = (directory.others + directory.self).sortedBy { it.host.value }

    private fun hostStatus(bundle: Bundle?): List<HostStatus> {
        val self = directory.self.host
        val reachable = directory.reachable() + self
        val versions = bundleVersions() + (self to (bundle?.version ?: 0))
        return hosts().map {
            HostStatus(it.host, it.region, it.failureDomain, it.host in reachable, versions[it.host])
        }
    }

    private fun groupStatus(): List<GroupStatus> {
        val known = leaders()
        return groups.map { GroupStatus(it.value, known[it]?.leader, known[it]?.term) }
    }

    private fun domainStatus(
        domain: DomainName,
        hosts: List<HostStatus>,
        reading: LedgerReader.Reading?,
    ): DomainStatus {
        val members = hosts.filter { it.failureDomain == domain }
        val capacity = capacities()[domain]
        return DomainStatus(
            failureDomain = domain,
            region = members.first().region,
            hostsTotal = members.size,
            hostsReachable = members.count { it.reachable },
            acceleratorsTotal = capacity?.acceleratorsTotal,
            acceleratorsFree = capacity?.acceleratorsFree,
            ledger = reading?.document,
            ledgerError = reading?.error,
        )
    }
}
