package org.auburnlever.host

import org.auburnlever.consensus.LogEntry
import org.auburnlever.consensus.Snapshot

/** Submissions that a replica has appended to its log as leader, until what is committed decides them. */
internal class PendingEntries<T> {
    private class PendingEntry<T>(val term: Long, val submission: T)

    /** Submissions that are decided: their entries are [applied], or [replaced] and can't be committed any more. */
    class Decided<T>(val applied: List<T>, val replaced: List<T>)

    // Two terms can have a submission at one index, as a leader that is elected again may have lost entries of its own.
    private val entries = HashMap<Long, List<PendingEntry<T>>>()
    private var committedTerm = 0L

    fun add(index: Long, term: Long, submission: T) {
        entries[index] = entries[index].orEmpty() + PendingEntry(term, submission)
    }

    /** Removes and returns the submissions that the applied [entry] decides. */
    fun removeDecided(entry: LogEntry): Decided<T> {
        val (applied, replaced) = entries.remove(entry.index).orEmpty().partition { it.term == entry.term }
        val later = removeAfter(entry.index, entry.term)
        return Decided(applied.map { it.submission }, replaced.map { it.submission } + later)
    }

    /** Removes and returns the submissions whose entries [snapshot] has replaced, so that their outcome is unknown. */
    fun removeCoveredBy(snapshot: Snapshot): List<T> = entries.keys.filter { it <= snapshot.lastIndex }
        .flatMap { entries.remove(it).orEmpty() }
        .map { it.submission }

    /**
     * Removes and returns the submissions accepted after [index] in terms before [term], in which an entry at [index]
     * is committed: terms never decrease along a log, so no log with that entry holds theirs. Without this, a
     * submission beyond the end of a new leader's log would wait until that log has grown.
     */
    fun removeAfter(index: Long, term: Long): List<T> {
        if (term <= committedTerm) return emptyList()
        committedTerm = term
        return entries.keys.filter { it > index }.flatMap { later ->
            val (open, replaced) = entries.getValue(later).partition { it.term >= term }
            if (open.isEmpty()) entries.remove(later) else entries[later] = open
            replaced.map { it.submission }
        }
    }
}
