package org.auburnlever.ctl

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import org.auburnlever.wire.Paths

/** Shows the complete state of one host's process. */
class DumpCommand(selection: Selection) : ReadCommand("dump", "Show the whole state of one host's process", selection) {
    override val path: String get() = Paths.DUMP

    override fun show(console: Console, json: String) = console.out.println(indented(Json.parseToJsonElement(json)))
}

private val indentedJson = Json { prettyPrint = true }

/** Returns [element] as indented JSON. */
internal fun indented(element: JsonElement): String =
    indentedJson.encodeToString(JsonElement.serializer(), element)
