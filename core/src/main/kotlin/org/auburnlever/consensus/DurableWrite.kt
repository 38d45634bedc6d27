package org.auburnlever.consensus

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A record that must be synced to disk before the other effects of the same batch are carried out. */
@Serializable
sealed interface DurableWrite {
    /** Stores the newest term and the vote granted in it. */
    @Serializable
    @SerialName("vote")
    data class Vote(val term: Long, val votedFor: ReplicaId?) : DurableWrite

    /** Appends [entries]; stored entries at and after the first index are replaced. */
    @Serializable
    @SerialName("append")
    data class Append(val entries: List<LogEntry>) : DurableWrite

    /** Stores [snapshot]; entries up to its last index may be deleted. */
    @Serializable
    @SerialName("snapshot")
    data class Install(val snapshot: Snapshot) : DurableWrite
}

/** State that a replica reads from disk when it starts; [entries] begin after the snapshot. */
data class RecoveredLog(
    val term: Long,
    val votedFor: ReplicaId?,
    val snapshot: Snapshot?,
    val entries: List<LogEntry>,
)
