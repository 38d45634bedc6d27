package org.auburnlever.consensus

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet

/** What a replica currently does in its term. */
internal sealed interface RaftRoleState {
    /** Follows [leader], or waits for one. */
    data class Follower(val leader: ReplicaId?) : RaftRoleState

    /** Asks whether it could win an election. */
    data class PreCandidate(val granted: PersistentSet<ReplicaId>) : RaftRoleState

    /** Collects votes. */
    data class Candidate(val granted: PersistentSet<ReplicaId>) : RaftRoleState

    /**
     * Leads the group.
     *
     * [roundSent] is the newest read round that messages carry, [roundConfirmed] the newest that a majority answered.
     */
    data class Leader(
        val electedMillis: Long,
        val firstIndex: Long,
        val peers: PersistentMap<ReplicaId, PeerProgress>,
        val reads: PersistentList<PendingRead>,
        val roundSent: Long,
        val roundConfirmed: Long,
        val heartbeatDueMillis: Long,
        val transfer: LeadershipTransfer?,
        val nextWitnessTransferMillis: Long,
    ) : RaftRoleState
}

/** A read that waits for a majority to answer [round]. */
internal data class PendingRead(val readId: Long, val round: Long)

/** A leadership transfer that is given up at [deadlineMillis]. */
internal data class LeadershipTransfer(val to: ReplicaId, val deadlineMillis: Long, val timeoutNowSent: Boolean)
