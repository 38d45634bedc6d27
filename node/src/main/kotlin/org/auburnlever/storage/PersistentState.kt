package org.auburnlever.storage

import org.auburnlever.consensus.DurableWrite
import org.auburnlever.consensus.LogEntry
import org.auburnlever.consensus.ReplicaId

/**
 * In-memory copy of what the files hold: Raft's term and vote, and the log entries after the snapshot.
 *
 * With it a snapshot can begin a new segment without reading the old ones. The entry objects are shared with the
 * replica's log.
 */
internal class PersistentState(var snapshotIndex: Long) {
    var term = 0L
        private set
    var votedFor: ReplicaId? = null
        private set
    val entries = ArrayDeque<LogEntry>()

    /** Applies [write]; throws [IllegalArgumentException] if its entries would leave a gap or overlap the snapshot. */
    fun apply(write: DurableWrite) = when (write) {
        is DurableWrite.Vote -> {
            term = write.term
            votedFor = write.votedFor
        }
        is DurableWrite.Append -> append(write.entries)
        is DurableWrite.Install -> install(write.snapshot.lastIndex, write.snapshot.lastTerm)
    }

    /**
     * Removes the entries up to [lastIndex], which a snapshot replaces.
     *
     * The later ones are removed too, unless the stored entry at [lastIndex] has the term [lastTerm]: otherwise they
     * belong to a log that diverges from the snapshot.
     */
    fun install(lastIndex: Long, lastTerm: Long) {
        val continues = entries.any { it.index == lastIndex && it.term == lastTerm }
        if (continues) entries.removeAll { it.index <= lastIndex } else entries.clear()
        snapshotIndex = lastIndex
    }

    /** Returns the writes that store this state in an empty log. */
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
