package org.auburnlever.consensus

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet

/** Role of a replica in its term, with the state that only that role needs. */
internal sealed interface RaftRoleState {
    /** Accepts the log of [leader]; null while no leader of the term is known. */
    data class Follower(val leader: ReplicaId?) : RaftRoleState

    /** Asks whether an election could be won; [granted] holds the pre-votes, its own included. */
    data class PreCandidate(val granted: PersistentSet<ReplicaId>) : RaftRoleState

    /** Collects the votes of an election; [granted] holds them, its own included. */
    data class Candidate(val granted: PersistentSet<ReplicaId>) : RaftRoleState

    /**
     * Replicates the log to the other members.
     *
     * [firstIndex] is the entry that the leader appended when it was elected. [roundSent] is the newest read round that
     * messages carry, [roundConfirmed] the newest that a majority answered. Until [nextWitnessTransferMillis], a
     * witness starts no leadership transfer of its own.
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

/** A linearizable read that is confirmed once a majority has answered [round]. */
internal data class PendingRead(val readId: Long, val round: Long)

/**
 * A leadership transfer to [to], which is aborted at [deadlineMillis].
 *
 * [timeoutNowSent] is set once [to] was asked to start an election.
 */
internal data class LeadershipTransfer(val to: ReplicaId, val deadlineMillis: Long, val timeoutNowSent: Boolean)
