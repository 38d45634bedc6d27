package org.auburnlever.acceptance

/** One entry host of a deployment on loopback; [httpPort] is for clients, [peerPort] for the other hosts. */
data class PlannedHost(
    val name: String,
    val region: String,
    val failureDomain: String,
    val httpPort: Int,
    val peerPort: Int,
) {
    /** Address for clients. */
    val address: String get() = "$LOOPBACK_ADDRESS:$httpPort"
}

/** A replicated group with its first members. */
data class PlannedGroup(val name: String, val voters: List<String>, val witnesses: List<String>)

/** Hosts and groups of a deployment. */
data class DeploymentPlan(val hosts: List<PlannedHost>, val groups: List<PlannedGroup>) {
    /** Names of the failure domains, in order. */
    val failureDomains: List<String> get() = hosts.map { it.failureDomain }.distinct()

    /** Hosts of one failure domain. */
    fun hostsOf(failureDomain: String): List<PlannedHost> = hosts.filter { it.failureDomain == failureDomain }

    /** The host called [name]. */
    fun host(name: String): PlannedHost = hosts.first { it.name == name }

    companion object {
        private const val HOSTS_PER_DOMAIN = 2

        /**
         * The smallest deployment with every kind of group: two disk hosts in each of [failureDomains]. A domain's
         * ledger has its two hosts and a witness in the next domain; the first hosts order the configuration.
         */
        fun smallest(
            failureDomains: List<String> = listOf("thies-a", "dakar-a", "saint-louis-a"),
        ): DeploymentPlan {
            val ports = Ports.findFree(failureDomains.size * HOSTS_PER_DOMAIN * 2).iterator()
            val hosts = failureDomains.flatMap { domain ->
                (1..HOSTS_PER_DOMAIN).map { number ->
                    val region = domain.substringBeforeLast('-')
                    PlannedHost("$domain-$number", region, domain, ports.next(), ports.next())
                }
            }
            val ledgers = failureDomains.mapIndexed { index, domain ->
                val next = failureDomains[(index + 1) % failureDomains.size]
                PlannedGroup("ledger/$domain", (1..HOSTS_PER_DOMAIN).map { "$domain-$it" }, listOf("$next-1"))
            }
            val configuration = PlannedGroup("configuration", failureDomains.map { "$it-1" }, emptyList())
            return DeploymentPlan(hosts, ledgers + configuration)
        }
    }
}

/** The address that all processes of a test deployment use. */
const val LOOPBACK_ADDRESS = "127.0.0.1"
