package org.auburnlever.fleet

import org.auburnlever.consensus.Membership
import org.auburnlever.consensus.MembershipChange
import org.auburnlever.consensus.ReplicaId
import org.auburnlever.consensus.ReplicaRole
import org.auburnlever.consensus.voters

/**
 * Returns the next change of the voters, or null if none is due.
 *
 * A voter that shuts down and still answers is replaced by promotion first and removal second, so that the group can
 * lose any voter at each step. One that is gone is removed first: the majority of the others is as large, and a leader
 * that is elected between the steps finds a voter missing and needs no sign of the lost one.
 *
 * If a voter that shut down starts again before it was removed, there is one too many, and any of the others goes.
 */
internal fun voterChange(
    membership: Membership,
    self: ReplicaId,
    health: ReplicaHealth,
    policy: VoterPolicy,
    nowMillis: Long,
): MembershipChange? {
    val others = membership.voters - self
    val learners = membership.roles.filterValues { it == ReplicaRole.LEARNER }.keys - membership.promotions.keys
    val candidate = learners.firstOrNull { health.canVote(it, nowMillis) }
    val departing = others.firstOrNull { health.isDeparting(it, nowMillis) }
    val gone = others.firstOrNull { health.hasDeparted(it, nowMillis) }
        ?: others.firstOrNull { health.isSilent(it, policy.timeoutMillis, nowMillis) }
    val surplus = others.firstOrNull().takeIf { health.departures.isEmpty() }
    val excess = membership.voters.size - policy.wantedVoters
    return when {
        excess > 0 -> (departing ?: gone ?: surplus)?.let { MembershipChange.Remove(it) }
        candidate == null -> null
        excess < 0 -> MembershipChange.Promote(candidate, ReplicaRole.VOTER)
        gone != null -> MembershipChange.Remove(gone)
        departing != null -> MembershipChange.Promote(candidate, ReplicaRole.VOTER)
        else -> null
    }
}

/**
 * Returns the voter that is to lead after a leader that shuts down: the one that has most of the log, by
 * [matchIndices], if possible not one of the [departing] replicas, which end soon, too. Null without another voter.
 */
internal fun leadershipSuccessor(matchIndices: Map<ReplicaId, Long>, departing: Set<ReplicaId>): ReplicaId? =
    (matchIndices - departing).ifEmpty { matchIndices }.maxByOrNull { it.value }?.key
