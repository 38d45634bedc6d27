package org.auburnlever.fleet

import org.auburnlever.model.HostName

/**
 * The control hosts that a process knows.
 *
 * @property seeds hosts that the settings have named, those of the last reload first. Earlier ones are kept, since
 *   settings may be older than the hosts that serve.
 * @property members members of the workload group as one of them last told; empty before
 */
internal data class KnownHosts(val seeds: List<HostName>, val members: List<HostName> = emptyList()) {
    /** The members and the seeds. */
    val all: List<HostName> get() = (members + seeds).distinct()

    /** Returns these hosts with the seeds [hosts] of reloaded settings. */
    fun withSeeds(hosts: List<HostName>) = copy(seeds = (hosts + seeds).distinct())

    /** Whether a member is among the [reachable] hosts. */
    fun reachesMember(reachable: Set<HostName>): Boolean = members.any { it in reachable }

    /** Returns the hosts to ask for the leader: the members, and also the seeds while no member is [reachable]. */
    fun toAsk(reachable: Set<HostName>): List<HostName> = if (reachesMember(reachable)) members else all
}
