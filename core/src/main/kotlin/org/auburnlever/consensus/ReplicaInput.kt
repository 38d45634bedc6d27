package org.auburnlever.consensus

import org.auburnlever.codec.Bytes

/** An event that a replica handles. */
sealed interface ReplicaInput {
    /** Drives timeouts and heartbeats; the driver passes it at least every 50 ms. */
    data object Tick : ReplicaInput

    /**
     * A [message] from [from].
     *
     * It is ignored if [to] is another incarnation of this replica; null means that the driver has checked the address.
     */
    data class Received(
        val from: ReplicaId,
        val message: ReplicaMessage,
        val to: ReplicaId? = null,
    ) : ReplicaInput

    /** Requests to append [command]; answered by `ReplicaEffect.Accepted` or `ReplicaEffect.Rejected`. */
    data class Propose(val proposalId: Long, val command: Bytes) : ReplicaInput

    /** Requests the index that a linearizable read must wait for; answered by `ReadConfirmed` or `Rejected`. */
    data class Read(val readId: Long) : ReplicaInput

    /** Requests a change of one member; answered like a proposal. */
    data class ChangeMembership(val proposalId: Long, val change: MembershipChange) : ReplicaInput

    /** Passes the state machine, serialized at [lastIndex]; entries up to there can be compacted. */
    data class SnapshotTaken(val lastIndex: Long, val state: Bytes) : ReplicaInput

    /** Requests a leadership transfer to [to]; ignored if this replica can't start one. */
    data class TransferLeadership(val to: ReplicaId) : ReplicaInput
}

/** A change of a single member. */
sealed interface MembershipChange {
    /** Adds [replica] without a vote, and removes an older incarnation of the same host in the same change. */
    data class AddLearner(val replica: ReplicaId) : MembershipChange

    /** Gives [role] to [replica], a learner that has caught up. */
    data class Promote(val replica: ReplicaId, val role: ReplicaRole) : MembershipChange

    /** Removes [replica]. */
    data class Remove(val replica: ReplicaId) : MembershipChange
}
