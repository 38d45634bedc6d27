package org.auburnlever.consensus

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnlever.codec.Bytes

/** An entry of a group's log. */
@Serializable
data class LogEntry(val index: Long, val term: Long, val payload: EntryPayload)

/** Content of a [LogEntry]. */
@Serializable
sealed interface EntryPayload {
    /** A command for the group's state machine. */
    @Serializable
    @SerialName("command")
    data class Command(val command: Bytes) : EntryPayload

    /**
     * One of the consecutive entries that hold a command which is too large for a single one; the [data] of all of them
     * together is the deflated command.
     *
     * The command takes effect at the index of the part with [last]. All parts have the same term; without the last
     * one, the others have no effect.
     */
    @Serializable
    @SerialName("commandPart")
    data class CommandPart(val part: Int, val last: Boolean, val data: Bytes) : EntryPayload

    /** Replaces the group's membership from this index on. */
    @Serializable
    @SerialName("membership")
    data class Members(val membership: Membership) : EntryPayload

    /** Appended by a new leader, since entries of earlier terms are committed only together with one of its term. */
    @Serializable
    @SerialName("empty")
    data object Empty : EntryPayload
}

/** Serialized state machine of a group at [lastIndex], which replaces all entries up to there. */
@Serializable
data class Snapshot(
    val lastIndex: Long,
    val lastTerm: Long,
    val membership: Membership,
    val state: Bytes,
)
