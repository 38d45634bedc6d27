package org.auburnlever.observe

import kotlinx.serialization.json.JsonElement

/** A part of a process whose state can be looked at. */
fun interface Dumpable {
    /** Returns the state now as JSON. Called on request only; must not block the request path. */
    fun dump(): JsonElement
}
