package org.auburnlever.consensus

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

// Upper estimates of the CBOR size of an entry without its command, and of a membership of a few replicas.
private const val ENTRY_OVERHEAD_BYTES = 64
private const val MEMBERSHIP_BYTES = 4_096

/** A membership and the index of the log entry that set it; 0 for the initial one. */
internal data class MembershipAt(val index: Long, val membership: Membership)

/**
 * In-memory log: the entries after [baseIndex], and the memberships that they set.
 *
 * The first element of [memberships] is the one in force at [baseIndex].
 */
internal data class ReplicaLog(
    val baseIndex: Long,
    val baseTerm: Long,
    val entries: PersistentList<LogEntry>,
    val memberships: PersistentList<MembershipAt>,
) {
    val lastIndex: Long get() = baseIndex + entries.size

    val lastTerm: Long get() = entries.lastOrNull()?.term ?: baseTerm

    /** The newest membership, committed or not. */
    val newestMembership: MembershipAt get() = memberships.last()

    /** Term of the entry at [index]; null if it was compacted or does not exist. */
    fun termAt(index: Long): Long? = when (index) {
        baseIndex -> baseTerm
        in (baseIndex + 1)..lastIndex -> entries[offsetOf(index)].term
        else -> null
    }

    fun append(added: List<LogEntry>): ReplicaLog = copy(
        entries = entries.addAll(added),
        memberships = memberships.addAll(
            added.mapNotNull { entry ->
                (entry.payload as? EntryPayload.Members)?.let { MembershipAt(entry.index, it.membership) }
            },
        ),
    )

    /** Removes the entries from [index] on. */
    fun truncateFrom(index: Long): ReplicaLog = copy(
        entries = entries.mutate { list -> while (list.size > offsetOf(index)) list.removeAt(list.lastIndex) },
        memberships = memberships.mutate { list -> list.removeAll { it.index >= index } },
    )

    /** Compacts the log: removes the entries up to [index]. */
    fun dropThrough(index: Long): ReplicaLog = copy(
        baseIndex = index,
        baseTerm = checkNotNull(termAt(index)) { "log has no entry at index $index" },
        entries = entries.drop(offsetOf(index) + 1).toPersistentList(),
        memberships = memberships.drop(memberships.indexOfLast { it.index <= index }).toPersistentList(),
    )

    /** The entries from [first] to [last]. */
    fun range(first: Long, last: Long): List<LogEntry> =
        entries.subList(offsetOf(first), offsetOf(last) + 1).toList()

    /** The membership in force at [index], which must not be before [baseIndex]. */
    fun membershipAt(index: Long): MembershipAt = memberships.last { it.index <= index }

    /** First index of the consecutive entries that have the same term as the one at [index]. */
    fun firstOfTermAt(index: Long): Long {
        val term = termAt(index)
        return (index downTo baseIndex + 1).takeWhile { termAt(it) == term }.lastOrNull() ?: index
    }

    /** Last index of an entry with [term]; null if none has it. */
    fun lastOfTerm(term: Long): Long? =
        entries.indexOfLast { it.term == term }.takeIf { it >= 0 }?.let { baseIndex + 1 + it }

    private fun offsetOf(index: Long): Int = (index - baseIndex - 1).toInt()

    companion object {
        /** Creates an empty log after [snapshot], or without a snapshot a new one with the membership [initial]. */
        fun after(snapshot: Snapshot?, initial: Membership): ReplicaLog = ReplicaLog(
            baseIndex = snapshot?.lastIndex ?: 0,
            baseTerm = snapshot?.lastTerm ?: 0,
            entries = persistentListOf(),
            memberships = persistentListOf(MembershipAt(snapshot?.lastIndex ?: 0, snapshot?.membership ?: initial)),
        )
    }
}

/** Upper estimate of the encoded size, for message and snapshot limits. */
internal val LogEntry.sizeBytes: Int
    get() = ENTRY_OVERHEAD_BYTES + when (payload) {
        is EntryPayload.Command -> payload.command.size
        is EntryPayload.CommandPart -> payload.data.size
        is EntryPayload.Members -> MEMBERSHIP_BYTES
        EntryPayload.Empty -> 0
    }

/** Number of first entries that are within the limits together; at least one if there is any. */
internal fun Sequence<LogEntry>.countWithin(maxEntries: Int, maxBytes: Int): Int {
    var bytes = 0
    return take(maxEntries).takeWhile { entry ->
        val first = bytes == 0
        bytes += entry.sizeBytes
        first || bytes <= maxBytes
    }.count()
}
