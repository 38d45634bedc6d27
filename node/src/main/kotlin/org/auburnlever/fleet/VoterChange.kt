package org.auburnlever.fleet

import org.auburnlever.consensus.Membership
import org.auburnlever.consensus.MembershipChange
import org.auburnlever.consensus.ReplicaId
import org.auburnlever.consensus.ReplicaRole
import org.auburnlever.consensus.voters

/**
 * How many voters a group has, and after how long without an answer one is replaced.
 *
 * @property wantedVoters twice the number of hosts that may be lost at the same time, plus one
 * @property timeoutMillis time without an answer after which a learner takes the place of a voter
 */
internal data class VoterPolicy(val wantedVoters: Int, val timeoutMillis: Long) {
    companion object {
        /**
         * Returns the policy for a deployment whose operators count a replacement host as healthy [catchUpMillis] after
         * its start. Another host may be lost from then on, so the group must have all its voters by then.
         */
        fun of(toleratedHostLosses: Int, catchUpMillis: Long) = VoterPolicy(
            wantedVoters = toleratedHostLosses * 2 + 1,
            timeoutMillis = maxOf(MIN_TIMEOUT_MILLIS, catchUpMillis - CHANGE_MILLIS),
        )

        /** Covers the check of the voters, a removal and a promotion between regions. */
        private const val CHANGE_MILLIS = 1_000L

        /** A voter that is silent for less may only be slow. */
        private const val MIN_TIMEOUT_MILLIS = 2_000L
    }
}

/**
 * What the leader knows of the other replicas.
 *
 * @property answeredMillis when each replica last answered in this term; without those that have not
 * @property replicating the replicas that have the log and get its new entries
 * @property departures when each replica last announced that it shuts down
 * @property leadsSinceMillis time of the election, from which a replica counts that has not answered since
 */
internal data class ReplicaHealth(
    val answeredMillis: Map<ReplicaId, Long>,
    val replicating: Set<ReplicaId>,
    val departures: Map<ReplicaId, Long>,
    val leadsSinceMillis: Long,
) {
    /** Returns whether [replica] has not answered for [durationMillis]. */
    fun isSilent(replica: ReplicaId, durationMillis: Long, nowMillis: Long): Boolean =
        nowMillis - (answeredMillis[replica] ?: leadsSinceMillis) > durationMillis

    /** Returns whether [replica] has announced that it shuts down and still answers. */
    fun isDeparting(replica: ReplicaId, nowMillis: Long): Boolean =
        departures[replica].let { it != null && nowMillis - it <= SILENCE_MILLIS } &&
            !isSilent(replica, SILENCE_MILLIS, nowMillis)

    /** Returns whether [replica] announced that it shuts down, and has not been heard of since. */
    fun hasDeparted(replica: ReplicaId, nowMillis: Long): Boolean {
        val announcedMillis = departures[replica] ?: return false
        // One that answers later has started again.
        val restarted = answeredMillis[replica].let { it != null && it > announcedMillis + SILENCE_MILLIS }
        val silent = nowMillis - announcedMillis > SILENCE_MILLIS && isSilent(replica, SILENCE_MILLIS, nowMillis)
        return silent && !restarted
    }

    /** Returns whether the learner [replica] answers, has the log, and stays. */
    fun canVote(replica: ReplicaId, nowMillis: Long): Boolean =
        replica in answeredMillis && replica in replicating &&
            !isSilent(replica, LEARNER_TIMEOUT_MILLIS, nowMillis) &&
            departures[replica].let { it == null || nowMillis - it > SILENCE_MILLIS }

    private companion object {
        /** Announcements are repeated, and heartbeats answered, several times in this time. */
        const val SILENCE_MILLIS = 600L

        /** Heartbeats are sent every 100 ms, so a working learner answers several times in this time. */
        const val LEARNER_TIMEOUT_MILLIS = 1_000L
    }
}

/**
 * Returns the next change of the voters, or null if none is due.
 *
 * A voter that shuts down and still answers is replaced by promotion first and removal second, so that each voter is
 * needed by no majority on the way. One that is gone is removed first: the majority of the others is as large, and a
 * leader that is elected between the steps finds a voter missing and needs no sign of the lost one.
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
    val excess = membership.voters.size - policy.wantedVoters
    return when {
        excess > 0 -> (departing ?: gone)?.let { MembershipChange.Remove(it) }
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
