package org.auburnlever.consensus

import org.auburnlever.codec.decodeToString

/** Records what all replicas of a group do; throws at the first step that breaks a guarantee of consensus. */
internal class HistoryChecker(private val initial: Membership) {
    private val leaders = mutableMapOf<Long, ReplicaId>()
    private val committed = mutableListOf<LogEntry>()
    private val commitTerms = mutableListOf<Long>()
    private val digests = mutableListOf(0L)
    private val appliedIds = mutableSetOf<Long>()
    private val rejectedIds = mutableSetOf<Long>()
    private val minReadIndexes = mutableMapOf<Long, Long>()
    private var completedIndex = 0L
    private var assembly = CommandAssembly()
    private val commands = mutableListOf<Long?>()

    /** Number of commands that took effect with the last of several parts. */
    var commandsInParts = 0
        private set

    /** Number of accepted proposals whose entries were replaced by those of other leaders. */
    var replacedProposals = 0
        private set

    val commitIndex: Long get() = committed.size.toLong()
    val completedWrites: Long get() = completedIndex
    var confirmedReads = 0
        private set
    val elections: Int get() = leaders.size

    /** The newest membership that any replica saw committed. */
    fun membership(): Membership =
        committed.asReversed().firstNotNullOfOrNull { (it.payload as? EntryPayload.Members)?.membership } ?: initial

    /** Checks that a term has one leader at most, and that it has every entry committed in earlier terms. */
    fun recordLeader(state: ReplicaState) {
        val known = leaders.put(state.term, state.id)
        check(known == null || known == state.id) { "$known and ${state.id} both lead term ${state.term}" }
        if (known != null) return
        for (index in state.log.baseIndex + 1..commitIndex) {
            val place = index.toInt() - 1
            val held = commitTerms[place] >= state.term || state.log.termAt(index) == committed[place].term
            check(held) { "${state.id} leads term ${state.term} without the committed entry $index" }
        }
    }

    /** Checks that all replicas apply the same entries; returns the digest of the state machine after [entry]. */
    fun recordApplied(entry: LogEntry, state: ReplicaState): Long {
        check(entry.index <= commitIndex + 1) { "${state.id} skipped entries before ${entry.index}" }
        if (entry.index == commitIndex + 1) recordCommitted(entry, state.term)
        check(committed[entry.index.toInt() - 1] == entry) { "${state.id} applied a different entry ${entry.index}" }
        return digestAt(entry.index)
    }

    /** Checks that the command that takes effect on a replica with the entry at [index] is that of the whole log. */
    fun checkCommand(index: Long, command: Long?) {
        val expected = commands[index.toInt() - 1]
        check(command == expected) { "a replica applied command $command at $index instead of $expected" }
    }

    fun digestAt(index: Long): Long = digests[index.toInt()]

    private fun recordCommitted(entry: LogEntry, term: Long) {
        committed += entry
        commitTerms += term
        digests += digests.last() * 31 + entry.hashCode()
        val id = assembly.commandAt(entry.payload)?.decodeToString()?.substringBefore(' ')?.toLong()
        assembly = assembly.after(entry.payload)
        commands += id
        if (id == null) return
        if (entry.payload is EntryPayload.CommandPart) commandsInParts++
        check(appliedIds.add(id)) { "proposal $id was applied twice" }
        check(id !in rejectedIds) { "proposal $id was rejected and applied" }
    }

    /** Records what a replica tells the proposer of an accepted proposal that is decided once [entry] is applied. */
    fun recordOutcome(accepted: ReplicaEffect.Accepted, entry: LogEntry) {
        if (accepted.term == entry.term) {
            completedIndex = maxOf(completedIndex, entry.index)
            if (entry.payload !is EntryPayload.Members) checkCommand(entry.index, accepted.proposalId)
        } else {
            replacedProposals++
            recordRejected(accepted.proposalId)
        }
    }

    fun recordRejected(proposalId: Long) {
        rejectedIds += proposalId
        check(proposalId !in appliedIds) { "proposal $proposalId was applied and rejected" }
    }

    fun recordReadStarted(readId: Long) {
        minReadIndexes[readId] = completedIndex
    }

    /** Checks that a read sees every write that had completed when the read began. */
    fun recordReadConfirmed(readId: Long, index: Long) {
        val minIndex = minReadIndexes.getValue(readId)
        check(index >= minIndex) { "read $readId saw index $index, but the write at $minIndex had completed before" }
        confirmedReads++
    }
}
