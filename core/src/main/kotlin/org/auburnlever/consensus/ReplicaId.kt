package org.auburnlever.consensus

import kotlinx.serialization.Serializable
import org.auburnlever.world.HostName

/**
 * Identifies one copy of a group's log.
 *
 * [incarnation] changes when a host loses its disk, so that the empty copy can't vote with the old one's rights.
 */
@Serializable
data class ReplicaId(val host: HostName, val incarnation: Long) {
    override fun toString(): String = "$host#$incarnation"
}

/** Part that a replica plays in its group. */
@Serializable
enum class ReplicaRole {
    /** Votes and stands for election. */
    VOTER,

    /** Votes and stores the log; stands for election only when no voter does, and hands leadership on. */
    WITNESS,

    /** Receives the log without a vote. */
    LEARNER,
}

/**
 * The replicas of a group and their roles.
 *
 * [promotions] holds the role that a learner gets from the leader once it has caught up: the one of the older
 * incarnation that it replaced.
 */
@Serializable
data class Membership(
    val roles: Map<ReplicaId, ReplicaRole>,
    val promotions: Map<ReplicaId, ReplicaRole> = emptyMap(),
)
