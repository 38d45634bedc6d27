package org.auburnlever.fleet

import org.auburnlever.consensus.Membership
import org.auburnlever.consensus.MembershipChange
import org.auburnlever.consensus.ReplicaId
import org.auburnlever.consensus.ReplicaRole
import org.auburnlever.consensus.voters

/**
 * A voter that has not answered for this time may be replaced by a learner that answers. The operators count a
 * replacement host as healthy 4 s after its start, and another host may be lost from then on, so the group must have
 * all its voters by then.
 */
internal const val VOTER_TIMEOUT_MILLIS = 4_000L

/**
 * Returns the next change of the voters, or null if none is due.
 *
 * While there are fewer than [wantedVoters], a learner that answers becomes a voter. A voter that has not answered for
 * [VOTER_TIMEOUT_MILLIS] is removed if a learner that answers can take its place. [lastAnswerMillis] is the time of the
 * last answer of each other replica; replicas without an entry count as unresponsive.
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

/** Returns when each replica last answered. A voter that has not answered a new leader counts from the election. */
internal fun lastAnswerMillis(
    answeredMillis: Map<ReplicaId, Long?>,
    membership: Membership,
    leadsSinceMillis: Long,
): Map<ReplicaId, Long?> =
    answeredMillis + membership.voters.filter { answeredMillis[it] == null }.associateWith { leadsSinceMillis }

private fun answeredSince(lastAnswerMillis: Long?, sinceMillis: Long): Boolean =
    lastAnswerMillis != null && lastAnswerMillis >= sinceMillis

/** Heartbeats are sent every 100 ms, so a working learner answers several times in this time. */
private const val LEARNER_TIMEOUT_MILLIS = 1_000L
