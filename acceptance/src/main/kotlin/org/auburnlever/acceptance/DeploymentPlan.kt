package org.auburnlever.acceptance

/** An entry host of a deployment on loopback; clients connect to [httpPort], other hosts to [peerPort]. */
data class PlannedHost(
    val name: String,
    val region: String,
    val failureDomain: String,
    val httpPort: Int,
    val peerPort: Int,
) {
    /** Address and port for clients. */
    val address: String get() = "$LOOPBACK_ADDRESS:$httpPort"
}

/** A replicated group with its initial members. */
data class PlannedGroup(val name: String, val voters: List<String>, val witnesses: List<String>)

/** Hosts and groups of a deployment. */
data class DeploymentPlan(val hosts: List<PlannedHost>, val groups: List<PlannedGroup>) {
    /** Names of the failure domains, in the order of their hosts. */
    val failureDomains: List<String> get() = hosts.map { it.failureDomain }.distinct()

    /** Returns the hosts of [failureDomain]. */
    fun hostsOf(failureDomain: String): List<PlannedHost> = hosts.filter { it.failureDomain == failureDomain }

    /** Returns the host [name]. */
    fun host(name: String): PlannedHost = hosts.first { it.name == name }

    companion object {
        private const val HOSTS_PER_DOMAIN = 2

        /**
         * Returns the smallest deployment with every kind of group: two disk hosts in each of [failureDomains].
         *
         * The ledger group of a domain has its two hosts as voters and a witness in the next domain. The first host of
         * each domain is a voter of the configuration group.
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

/** Address that all processes of a deployment listen on. */
const val LOOPBACK_ADDRESS = "127.0.0.1"
