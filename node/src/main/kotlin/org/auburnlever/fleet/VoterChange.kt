package org.auburnlever.fleet

import org.auburnlever.consensus.Membership
import org.auburnlever.consensus.MembershipChange
import org.auburnlever.consensus.ReplicaId
import org.auburnlever.consensus.ReplicaRole
import org.auburnlever.consensus.voters

/**
 * A voter that has not answered for this long may be replaced by a learner that does. The operators count a successor
 * as sound 4 s after its start, and another host may be lost from then on, so the group must be complete by then.
 */
internal const val VOTER_TIMEOUT_MILLIS = 4_000L

/**
 * The next change of the voters, or null if none is due.
 *
 * While there are fewer than [wantedVoters], a learner that answers becomes a voter. A voter that has been silent since
 * before the loss limit makes room for a learner of another host. [lastAnswerMillis] tells when each other replica last
 * answered; replicas without an entry count as silent.
 */
internal fun voterChange(
    membership: Membership,
    self: ReplicaId,
    lastAnswerMillis: Map<ReplicaId, Long?>,
    wantedVoters: Int,
    nowMillis: Long,
): MembershipChange? {
    val learners = membership.roles.filterValues { it == ReplicaRole.LEARNER }.keys - membership.promotions.keys
    val candidate = learners.firstOrNull { answeredSince(lastAnswerMillis[it], nowMillis - LEARNER_TIMEOUT_MILLIS) }
    val unresponsive = membership.voters.firstOrNull { voter ->
        voter != self && !answeredSince(lastAnswerMillis[voter], nowMillis - VOTER_TIMEOUT_MILLIS)
    }
    return when {
        candidate == null -> null
        membership.voters.size < wantedVoters -> MembershipChange.Promote(candidate, ReplicaRole.VOTER)
        unresponsive != null -> MembershipChange.Remove(unresponsive)
        else -> null
    }
}

/** When each replica last answered; a voter that has not answered a new leader is silent since the election. */
internal fun lastAnswerMillis(
    answeredMillis: Map<ReplicaId, Long?>,
    membership: Membership,
    leadsSinceMillis: Long,
): Map<ReplicaId, Long?> =
    answeredMillis + membership.voters.filter { answeredMillis[it] == null }.associateWith { leadsSinceMillis }

private fun answeredSince(lastAnswerMillis: Long?, sinceMillis: Long): Boolean =
    lastAnswerMillis != null && lastAnswerMillis >= sinceMillis

/** Heartbeats go out every 100 ms, so a working learner answers several times in this time. */
private const val LEARNER_TIMEOUT_MILLIS = 1_000L
