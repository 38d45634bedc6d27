package org.auburnlever.workload.leaderless

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.auburnlever.model.HostName

/** What a host learned about one control host from an answer, or from the lack of one. */
sealed interface LeaderSign {
    /** The host answered as leader. */
    data object Answered : LeaderSign

    /** The host does not lead in [term] and knows [leader] as its leader; [term] is 0 if it did not tell. */
    data class NotLeading(val leader: HostName?, val term: Long) : LeaderSign

    /** The host did not answer a call in time. */
    data object Silent : LeaderSign

    /** There is no connection to the host, or it broke. */
    data object Unreachable : LeaderSign
}

/**
 * The last sign of one control host.
 *
 * @property term highest term that the host has told
 */
data class HostEvidence(val sign: LeaderSign, val observedMillis: Long, val term: Long = 0)

/**
 * What an entry host has seen of the control hosts, from which it decides whether a leader can answer.
 *
 * The load that this addresses: the leader is lost, frozen or cut off, and each call that waits would otherwise ask
 * every control host in turn until it times out. All calls of an entry host share this evidence.
 *
 * @property leader the host that answered as leader or was named as one, and has not been refuted since; may be lost
 * @property term highest term that a control host has told
 * @property leaderlessSinceMillis when the last leader was refuted; null while there is a leader
 */
data class LeaderEvidence(
    val hosts: PersistentMap<HostName, HostEvidence> = persistentMapOf(),
    val leader: HostName? = null,
    val term: Long = 0,
    val leaderlessSinceMillis: Long? = null,
) {
    /** Returns this evidence with [sign], which [host] gave at [nowMillis]. */
    fun observed(host: HostName, sign: LeaderSign, nowMillis: Long): LeaderEvidence {
        val toldTerm = maxOf((sign as? LeaderSign.NotLeading)?.term ?: 0, hosts[host]?.term ?: 0)
        val noted = copy(hosts = hosts.put(host, HostEvidence(sign, nowMillis, toldTerm)))
        return when (sign) {
            LeaderSign.Answered -> noted.copy(leader = host, leaderlessSinceMillis = null)
            is LeaderSign.NotLeading -> noted.named(host, sign, nowMillis)
            LeaderSign.Silent, LeaderSign.Unreachable -> noted.refuted(host, nowMillis)
        }
    }

    /**
     * Takes over the leader that [host] names unless it is refuted.
     *
     * A frozen or isolated leader is still named by hosts of its term. Only a higher term shows that it has been
     * elected again after it failed to answer.
     */
    private fun named(host: HostName, sign: LeaderSign.NotLeading, nowMillis: Long): LeaderEvidence {
        val newTerm = sign.term > term
        val base = refuted(host, nowMillis).copy(term = maxOf(term, sign.term))
        val candidate = sign.leader?.takeIf { it != host }
        val outdated = sign.term < term
        // A host that only said that it does not lead may have been elected since, or not be ready yet.
        val failed = candidate?.let { hosts[it]?.sign }.let { it == LeaderSign.Silent || it == LeaderSign.Unreachable }
        val credible = candidate != null && !outdated && (newTerm || !failed)
        return when {
            credible -> base.copy(leader = candidate, leaderlessSinceMillis = null)
            newTerm -> base.copy(leader = null, leaderlessSinceMillis = base.leaderlessSinceMillis ?: nowMillis)
            else -> base
        }
    }

    private fun refuted(host: HostName, nowMillis: Long): LeaderEvidence =
        if (leader == null || leader == host) {
            copy(leader = null, leaderlessSinceMillis = leaderlessSinceMillis ?: nowMillis)
        } else {
            this
        }

    /**
     * Returns which of [reachable] to ask for the leader; null if none is left.
     *
     * The believed leader comes first, then the host that gave a sign longest ago, as its knowledge is the oldest. A
     * silent host would hold up the search and is asked less often, but again, since it may just have been slow. Of
     * hosts that have given no sign for equally long, the one of the highest term is likely to know a new leader.
     */
    fun nextHost(reachable: Collection<HostName>): HostName? =
        leader?.takeIf { it in reachable } ?: reachable.minWithOrNull(
            compareBy<HostName> { hosts[it]?.askAgainMillis ?: 0L }.thenByDescending { hosts[it]?.term ?: 0L },
        )

    private val HostEvidence.askAgainMillis: Long
        get() = observedMillis + if (sign == LeaderSign.Silent) SILENT_PAUSE_MILLIS else 0

    /** Returns whether a leader can answer now or soon, given which of [members] are [reachable]. */
    fun prospect(members: Collection<HostName>, reachable: Collection<HostName>, nowMillis: Long): LeaderProspect {
        val leaderlessMillis = leaderlessSinceMillis?.let { nowMillis - it } ?: 0
        // A silent host may be frozen. It does not count, or a call would wait for an election that can't complete.
        val able = members.count { it in reachable && hosts[it]?.sign != LeaderSign.Silent }
        return when {
            leader != null && leader in reachable -> LeaderProspect.Present
            able * 2 > members.size -> LeaderProspect.Electing(leaderlessMillis)
            else -> LeaderProspect.HostsMissing(leaderlessMillis)
        }
    }

    private companion object {
        /** About the shortest election timeout: meanwhile, the other hosts are more likely to know the next leader. */
        const val SILENT_PAUSE_MILLIS = 500L
    }
}

/** Whether a leader can be expected to answer. */
sealed interface LeaderProspect {
    /** A leader is known and connected. */
    data object Present : LeaderProspect

    /** A majority of the control hosts is connected and can elect a leader, [leaderlessMillis] after the last one. */
    data class Electing(val leaderlessMillis: Long) : LeaderProspect

    /** Too few control hosts are connected for an election, or this host is cut off. */
    data class HostsMissing(val leaderlessMillis: Long) : LeaderProspect
}
