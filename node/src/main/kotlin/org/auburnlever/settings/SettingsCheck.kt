package org.auburnlever.settings

import io.netty.util.NetUtil
import org.auburnlever.configuration.ProblemCollector
import org.auburnlever.configuration.checkOperators
import org.auburnlever.model.HostName
import org.auburnlever.transport.Peer

/** Name of the consensus group that orders configuration changes. */
const val CONFIGURATION_GROUP: String = "configuration"

/** Prefix of the names of the consensus groups that replicate ledgers; the name of the failure domain follows. */
const val LEDGER_GROUP_PREFIX: String = "ledger/"

/** Checks all rules that go beyond the type and range of one field, and adds a problem for each that is broken. */
internal fun ProblemCollector.checkSettings(settings: Settings) {
    checkAddress("httpAddress", settings.httpAddress)
    checkAddress("peerAddress", settings.peerAddress)
    checkHosts(settings.hosts)
    requireName("host", settings.self.host.value)
    // Without any host, or without this host's name, these checks would only add problems that hide the cause.
    if (settings.hosts.isNotEmpty() && settings.self.host.value.isNotEmpty()) checkSelf(settings)
    if (settings.hosts.isNotEmpty()) checkGroups(settings)
    checkDataFolder(settings)
    checkOperators(settings.genesisOperators, settings.genesisThreshold, "genesisOperators", "genesisThreshold")
    checkTimeouts(settings.limits)
}

private fun ProblemCollector.checkHosts(hosts: List<Peer>) {
    requireSize("hosts", hosts, 1..MAX_HOSTS)
    hosts.forEachIndexed { index, host ->
        requireName("hosts[$index].host", host.host.value)
        requireName("hosts[$index].region", host.region.value)
        requireName("hosts[$index].failureDomain", host.failureDomain.value)
        checkAddress("hosts[$index].address", host.address)
        val first = hosts.first { it.failureDomain == host.failureDomain }
        if (host.region != first.region) {
            add("hosts[$index].region", "\"${host.region}\"", "\"${first.region}\", the region of ${first.host}")
        }
    }
    requireDistinct("hosts", ".host", hosts.map { it.host.value })
    requireDistinct("hosts", ".address", hosts.map { "${it.address}:${it.port}" })
}

private fun ProblemCollector.checkSelf(settings: Settings) {
    val self = settings.self
    val listed = settings.hosts.firstOrNull { it.host == self.host }
    if (listed == null) {
        requireKnown("host", self.host, settings.hosts.map { it.host }, "a host of the list \"hosts\"")
        return
    }
    requireSame("region", self.region.value, listed.region.value)
    requireSame("failureDomain", self.failureDomain.value, listed.failureDomain.value)
    requireSame("peerPort", self.port.toString(), listed.port.toString())
    if (settings.peerAddress !in WILDCARDS) requireSame("peerAddress", settings.peerAddress, listed.address)
}

private fun ProblemCollector.requireSame(path: String, value: String, listed: String) {
    if (value != listed) add(path, "\"$value\"", "\"$listed\", as in this host's entry of \"hosts\"")
}

private fun ProblemCollector.checkGroups(settings: Settings) {
    val known = settings.hosts.map { it.host }
    val ledgers = settings.hosts.map { "$LEDGER_GROUP_PREFIX${it.failureDomain}" }.distinct()
    val names = listOf(CONFIGURATION_GROUP) + ledgers
    settings.groups.forEachIndexed { index, group ->
        val path = "groups[$index]"
        requireKnown("$path.group", group.name.value, names, "one of")
        requireSize("$path.voters", group.voters, 1..MAX_REPLICAS)
        group.voters.forEachIndexed { i, host -> requireKnown("$path.voters[$i]", host, known, "a host") }
        group.witnesses.forEachIndexed { i, host -> requireKnown("$path.witnesses[$i]", host, known, "a host") }
        requireDistinct(members(path, group))
    }
    requireDistinct("groups", ".group", settings.groups.map { it.name.value })
    if (settings.groups.none { it.name.value == CONFIGURATION_GROUP }) {
        add("groups", "a list without the group \"$CONFIGURATION_GROUP\"", "a list that contains it")
    }
}

private fun members(path: String, group: GroupSettings): List<Pair<String, String>> =
    group.voters.mapIndexed { i, host -> "$path.voters[$i]" to host.value } +
        group.witnesses.mapIndexed { i, host -> "$path.witnesses[$i]" to host.value }

private fun ProblemCollector.checkDataFolder(settings: Settings) {
    val groups = settings.groups.filter { settings.self.host in it.replicas() }.map { it.name }
    if (groups.isEmpty() || settings.dataFolder != null) return
    add("dataFolder", "a missing field", "a folder, because this host has replicas of ${groups.joinToString()}")
}

private fun GroupSettings.replicas(): List<HostName> = voters + witnesses

private fun ProblemCollector.checkTimeouts(limits: ProcessLimits) {
    if (limits.defaultRequestTimeoutMillis <= limits.maxRequestTimeoutMillis) return
    val permitted = "at most maxRequestTimeoutMillis, which is ${limits.maxRequestTimeoutMillis}"
    add("defaultRequestTimeoutMillis", limits.defaultRequestTimeoutMillis, permitted)
}

private fun ProblemCollector.checkAddress(path: String, address: String) {
    if (NetUtil.isValidIpV4Address(address) || NetUtil.isValidIpV6Address(address)) return
    add(path, "\"$address\"", "an IPv4 or IPv6 address; host names are not resolved")
}

private const val MAX_HOSTS = 256
private const val MAX_REPLICAS = 9
private val WILDCARDS = setOf("0.0.0.0", "::")
