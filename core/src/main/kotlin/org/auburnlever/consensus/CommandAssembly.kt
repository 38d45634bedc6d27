package org.auburnlever.consensus

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.auburnlever.codec.Bytes
import org.auburnlever.codec.inflated

/**
 * Joins the parts of large commands while the entries of a log are applied in order.
 *
 * A leader appends all parts of a command in one step. Where parts are missing, that leader was replaced, and the entry
 * of the next one ends the incomplete command.
 */
class CommandAssembly private constructor(private val parts: PersistentList<Bytes>) {
    constructor() : this(persistentListOf())

    /** Whether the last entry was a part of a command that is not complete. */
    val isIncomplete: Boolean get() = parts.isNotEmpty()

    /** Returns the assembly after the entry with [payload]. */
    fun after(payload: EntryPayload): CommandAssembly = when {
        payload !is EntryPayload.CommandPart || payload.last -> EMPTY
        payload.part == 0 -> CommandAssembly(persistentListOf(payload.data))
        payload.part == parts.size -> CommandAssembly(parts.add(payload.data))
        else -> EMPTY
    }

    /** Returns the command that takes effect with the entry with [payload], which follows; null if there is none. */
    fun commandAt(payload: EntryPayload): Bytes? = when (payload) {
        is EntryPayload.Command -> payload.command
        is EntryPayload.CommandPart ->
            if (payload.last && payload.part == parts.size) Bytes.concat(parts + payload.data).inflated() else null
        is EntryPayload.Members, EntryPayload.Empty -> null
    }

    private companion object {
        val EMPTY = CommandAssembly()
    }
}
