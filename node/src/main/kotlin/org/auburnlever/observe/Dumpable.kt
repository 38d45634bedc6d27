package org.auburnlever.observe

import kotlinx.serialization.json.JsonElement

/** A component of a process that can report its state for debugging. */
fun interface Dumpable {
    /** Returns the current state as JSON. Called only for a dump; must not block the handling of requests. */
    fun dump(): JsonElement
}
