package org.auburnlever.consensus

/** Disk of a simulated host: holds what its replica has synced, which a crash keeps. */
internal class SimulatedDisk {
    private var vote = DurableWrite.Vote(term = 0, votedFor = null)
    private var snapshot: Snapshot? = null
    private val entries = mutableListOf<LogEntry>()

    fun write(write: DurableWrite) = when (write) {
        is DurableWrite.Vote -> vote = write
        is DurableWrite.Append -> append(write.entries)
        is DurableWrite.Install -> install(write.snapshot)
    }

    fun recover() = RecoveredLog(vote.term, vote.votedFor, snapshot, entries.toList())

    private fun append(added: List<LogEntry>) {
        entries.removeAll { it.index >= added.first().index }
        val last = entries.lastOrNull()?.index ?: snapshot?.lastIndex ?: 0
        check(added.first().index == last + 1) { "gap in the stored log after entry $last" }
        entries += added
    }

    private fun install(installed: Snapshot) {
        val continues = entries.any { it.index == installed.lastIndex && it.term == installed.lastTerm }
        entries.removeAll { !continues || it.index <= installed.lastIndex }
        snapshot = installed
    }
}
