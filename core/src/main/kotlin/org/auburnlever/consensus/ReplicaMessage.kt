package org.auburnlever.consensus

import kotlinx.serialization.Serializable

/** Messages between the replicas of a group. */
@Serializable
sealed interface ReplicaMessage {
    /** Sender's term. */
    val term: Long
}
