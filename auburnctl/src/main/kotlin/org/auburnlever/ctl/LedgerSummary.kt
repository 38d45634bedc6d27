package org.auburnlever.ctl

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** Formats the summary of a ledger as one line; parts that it does not have are left out. */
internal fun summarizeLedger(summary: JsonElement): String {
    val fields = summary as? JsonObject ?: return "-"
    val jobs = (fields["jobsByPhase"] as? JsonObject).orEmpty().map { (phase, count) -> "$count $phase" }
    val parts = listOfNotNull(
        fields["workers"]?.let { "$it workers" },
        labelledList("lost", fields["workersLost"]),
        labelledList("suspended", fields["workersSuspended"]),
        jobs.takeIf { it.isNotEmpty() }?.joinToString(", ", prefix = "jobs: "),
        labelledList("guarantees at risk", fields["guaranteesAtRisk"]),
    )
    return parts.joinToString("; ").ifEmpty { "-" }
}

private fun labelledList(name: String, element: JsonElement?): String? {
    val entries = element as? JsonArray ?: return null
    return entries.takeIf { it.isNotEmpty() }?.joinToString(prefix = "$name: ") { nameOf(it) }
}

/** Returns the name of a list entry; for a guarantee its account, since that is whom the operator has to inform. */
private fun nameOf(entry: JsonElement): String {
    val named = (entry as? JsonObject)?.get("account") ?: entry
    return (named as? JsonPrimitive)?.content ?: named.toString()
}
