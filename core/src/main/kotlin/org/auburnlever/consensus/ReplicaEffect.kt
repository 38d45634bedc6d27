package org.auburnlever.consensus

/** What the driver must do after a step. Everything but [Persist] waits until the batch's writes are synced. */
sealed interface ReplicaEffect {
    /** Write to disk and sync. */
    data class Persist(val write: DurableWrite) : ReplicaEffect

    /** Send [message]; it may be lost. */
    data class Send(val to: ReplicaId, val message: ReplicaMessage) : ReplicaEffect

    /** Apply committed [entries], in order, to the state machine. */
    data class Apply(val entries: List<LogEntry>) : ReplicaEffect

    /** Replace the state machine by [snapshot]. */
    data class Restore(val snapshot: Snapshot) : ReplicaEffect

    /**
     * A proposal was appended at [index] in [term]; it is decided when an entry at [index] is applied.
     *
     * If that entry has [term], it is the proposal's; otherwise the proposal has no effect. If a [Restore] passes
     * [index] first, its effect is not known.
     */
    data class Accepted(val proposalId: Long, val index: Long, val term: Long) : ReplicaEffect

    /** A proposal or read was not taken and has had no effect. */
    data class Rejected(val proposalId: Long, val reason: RejectionReason, val leader: ReplicaId?) : ReplicaEffect

    /** A read may be served once the state machine applied [index]. */
    data class ReadConfirmed(val readId: Long, val index: Long) : ReplicaEffect

    /** The known leader changed; null means none. */
    data class LeaderChanged(val leader: ReplicaId?, val term: Long) : ReplicaEffect
}

/** Why a replica did not take a proposal. */
enum class RejectionReason {
    NOT_LEADER,

    /** Another change is not committed yet, or the leader has not committed an entry of its term. */
    CHANGE_PENDING,
    NOT_CAUGHT_UP,

    /** The change names no member, or an incarnation older than the member. */
    UNKNOWN_REPLICA,

    /** The leader is handing over, or lost leadership before a read was confirmed. */
    LEADERSHIP_LOST,

    /** The voters after the change that answer the leader would be no majority. */
    WOULD_LOSE_QUORUM,

    /** The command is larger than one message may be. */
    TOO_LARGE,

    /** The incarnation to replace still answers, so its disk is not lost. */
    OLD_INCARNATION_ACTIVE,
}
