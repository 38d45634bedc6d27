package org.auburnlever.host

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.auburnlever.codec.Codec
import org.auburnlever.ledger.LedgerState
import org.auburnlever.ledger.LedgerSummary
import org.auburnlever.ledger.summary

/** Returns the state of the replica as JSON and, for a ledger, the summary of the ledger. */
internal fun GroupView<*>.dump(): JsonElement = buildJsonObject {
    put("replica", replica.toString())
    put("activity", raftRole.name.lowercase())
    put("role", role?.name?.lowercase())
    put("leader", leader?.toString())
    put("term", term)
    put("commitIndex", commitIndex)
    put("appliedIndex", appliedIndex)
    put("lastIndex", lastIndex)
    put("members", JsonObject(membership.roles.entries.associate { "${it.key}" to JsonPrimitive(it.value.name) }))
    val ledger = state as? LedgerState
    ledger?.let { put("ledger", Codec.json.encodeToJsonElement(LedgerSummary.serializer(), it.summary())) }
}
