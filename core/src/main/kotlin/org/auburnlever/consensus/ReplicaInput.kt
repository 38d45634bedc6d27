package org.auburnlever.consensus

import org.auburnlever.codec.Bytes

/** What can happen to a replica. */
sealed interface ReplicaInput {
    /** Time has passed; given at least every 50 ms. */
    data object Tick : ReplicaInput

    /**
     * [message] arrived from [from].
     *
     * It is ignored if [to] is another incarnation; null means that the driver has checked the address.
     */
    data class Received(
        val from: ReplicaId,
        val message: ReplicaMessage,
        val to: ReplicaId? = null,
    ) : ReplicaInput

    /** Ask to append [command]; answered by `ReplicaEffect.Accepted` or `ReplicaEffect.Rejected`. */
    data class Propose(val proposalId: Long, val command: Bytes) : ReplicaInput

    /** Ask for an index that a linearizable read must wait for; answered by `ReadConfirmed` or `Rejected`. */
    data class Read(val readId: Long) : ReplicaInput

    /** Ask for a change of one member; answered like a proposal. */
    data class ChangeMembership(val proposalId: Long, val change: MembershipChange) : ReplicaInput

    /** The driver serialized the state machine at [lastIndex]; entries up to there can be dropped. */
    data class SnapshotTaken(val lastIndex: Long, val state: Bytes) : ReplicaInput

    /** Hand leadership to [to]. */
    data class TransferLeadership(val to: ReplicaId) : ReplicaInput
}

/** A change of a single member. */
sealed interface MembershipChange {
    /** Adds [replica] without a vote; replaces an older incarnation of the same host. */
    data class AddLearner(val replica: ReplicaId) : MembershipChange

    /** Gives a learner that has caught up [role]. */
    data class Promote(val replica: ReplicaId, val role: ReplicaRole) : MembershipChange

    /** Removes [replica]. */
    data class Remove(val replica: ReplicaId) : MembershipChange
}
