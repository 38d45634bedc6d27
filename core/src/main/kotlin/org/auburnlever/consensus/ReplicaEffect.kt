package org.auburnlever.consensus

/** An action that the driver must carry out after a step: all but [Persist] only once the batch's writes are synced. */
sealed interface ReplicaEffect {
    /** Writes [write] to disk and syncs it. */
    data class Persist(val write: DurableWrite) : ReplicaEffect

    /** Sends [message] to [to]; delivery is not guaranteed. */
    data class Send(val to: ReplicaId, val message: ReplicaMessage) : ReplicaEffect

    /** Applies committed [entries], in order, to the state machine. */
    data class Apply(val entries: List<LogEntry>) : ReplicaEffect

    /** Replaces the state machine by [snapshot]. */
    data class Restore(val snapshot: Snapshot) : ReplicaEffect

    /**
     * Reports that a proposal was appended at [index], or with its last part there, in [term]; its
     * outcome is known when an entry at [index] is applied.
     *
     * If that entry has [term], it is the proposal's; otherwise the proposal has no effect. It has none either once an
     * entry of a later term is applied before [index]. If a [Restore] to [index] or later comes first, the outcome
     * stays unknown.
     */
    data class Accepted(val proposalId: Long, val index: Long, val term: Long) : ReplicaEffect

    /** Reports that a proposal or read was not accepted and has had no effect. */
    data class Rejected(val proposalId: Long, val reason: RejectionReason, val leader: ReplicaId?) : ReplicaEffect

    /** Allows a read to be served once the state machine has applied [index]. */
    data class ReadConfirmed(val readId: Long, val index: Long) : ReplicaEffect

    /** Reports a change of the known leader or its term; null means that none is known. */
    data class LeaderChanged(val leader: ReplicaId?, val term: Long) : ReplicaEffect
}

/** Why a replica did not accept a proposal, read or membership change. */
enum class RejectionReason {
    NOT_LEADER,

    /** Another membership change is uncommitted, or the leader has not committed an entry of its term. */
    CHANGE_PENDING,

    /** The learner to promote has not caught up with the log. */
    NOT_CAUGHT_UP,

    /** The change names a replica that is not a member, or an older incarnation than the member. */
    UNKNOWN_REPLICA,

    /** A leadership transfer is in progress, or the leader lost leadership before a read was confirmed. */
    LEADERSHIP_LOST,

    /** The voters that answer the leader would not be a majority after the change. */
    WOULD_LOSE_QUORUM,

    /** The command exceeds the size limit of a command. */
    TOO_LARGE,

    /** The incarnation to replace still answers, so its disk is not lost. */
    OLD_INCARNATION_ACTIVE,
}
