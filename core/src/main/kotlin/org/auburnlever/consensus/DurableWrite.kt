package org.auburnlever.consensus

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What a replica must have on disk before the other effects of the same batch are released. */
@Serializable
sealed interface DurableWrite {
    /** The newest term and the vote given in it. */
    @Serializable
    @SerialName("vote")
    data class Vote(val term: Long, val votedFor: ReplicaId?) : DurableWrite

    /** Entries to append; stored entries at and after the first index are replaced. */
    @Serializable
    @SerialName("append")
    data class Append(val entries: List<LogEntry>) : DurableWrite

    /** Snapshot to store; entries up to its last index may be dropped. */
    @Serializable
    @SerialName("snapshot")
    data class Install(val snapshot: Snapshot) : DurableWrite
}

/** What a replica finds on disk when it starts; [entries] begin after the snapshot. */
data class RecoveredLog(
    val term: Long,
    val votedFor: ReplicaId?,
    val snapshot: Snapshot?,
    val entries: List<LogEntry>,
)
