package org.auburnlever.storage

import org.auburnlever.consensus.DurableWrite
import org.auburnlever.consensus.LogEntry
import org.auburnlever.consensus.ReplicaId

/**
 * What the files hold: the vote, and the entries after the snapshot.
 *
 * It shares its entries with the replica's log, and lets a snapshot begin a new segment without reading the old ones.
 */
internal class PersistentState(var snapshotIndex: Long) {
    var term = 0L
        private set
    var votedFor: ReplicaId? = null
        private set
    val entries = ArrayDeque<LogEntry>()

    /** Takes over [write]; throws [IllegalArgumentException] if its entries don't follow the stored ones. */
    fun apply(write: DurableWrite) = when (write) {
        is DurableWrite.Vote -> {
            term = write.term
            votedFor = write.votedFor
        }
        is DurableWrite.Append -> append(write.entries)
        is DurableWrite.Install -> install(write.snapshot.lastIndex, write.snapshot.lastTerm)
    }

    /** Drops the entries up to [lastIndex], and those after it if they continue another history. */
    fun install(lastIndex: Long, lastTerm: Long) {
        val continues = entries.any { it.index == lastIndex && it.term == lastTerm }
        if (continues) entries.removeAll { it.index <= lastIndex } else entries.clear()
        snapshotIndex = lastIndex
    }

    /** The writes that store this image in an empty log. */
    fun toWrites(): List<DurableWrite> =
        listOf(DurableWrite.Vote(term, votedFor), DurableWrite.Append(entries.toList()))

    private fun append(added: List<LogEntry>) {
        val first = added.firstOrNull()?.index ?: return
        require(first > snapshotIndex && first <= snapshotIndex + entries.size + 1) {
            "entry $first does not follow the entries ${snapshotIndex + 1} to ${snapshotIndex + entries.size}"
        }
        while (entries.lastOrNull().let { it != null && it.index >= first }) entries.removeLast()
        entries.addAll(added)
    }
}
