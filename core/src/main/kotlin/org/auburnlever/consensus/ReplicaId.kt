package org.auburnlever.consensus

import kotlinx.serialization.Serializable
import org.auburnlever.model.HostName

/**
 * Identifies one copy of a group's log.
 *
 * [incarnation] increases when a host loses its disk, so that the new, empty copy can't use the vote of the lost one.
 */
@Serializable
data class ReplicaId(val host: HostName, val incarnation: Long) {
    override fun toString(): String = "$host#$incarnation"
}

/** Role of a member of a group, as its membership sets it; the Raft role is [RaftRole]. */
@Serializable
enum class ReplicaRole {
    /** Votes, stores the log and can be elected. */
    VOTER,

    /** Votes and stores the log; waits longer than voters before an election, and transfers leadership to a voter. */
    WITNESS,

    /** Receives the log without a vote. */
    LEARNER,
}

/**
 * Lists the replicas of a group and their roles.
 *
 * [promotions] holds the role that the leader gives to a learner once it has caught up: the role of the older
 * incarnation that it replaced.
 */
@Serializable
data class Membership(
    val roles: Map<ReplicaId, ReplicaRole>,
    val promotions: Map<ReplicaId, ReplicaRole> = emptyMap(),
)
