package org.auburnlever.consensus

/** What a replica has synced; a crash loses everything else. */
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
        check(added.first().index == last + 1) { "gap after entry $last" }
        entries += added
    }

    private fun install(installed: Snapshot) {
        val continues = entries.any { it.index == installed.lastIndex && it.term == installed.lastTerm }
        entries.removeAll { !continues || it.index <= installed.lastIndex }
        snapshot = installed
    }
}
