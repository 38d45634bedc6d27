package org.auburnlever.settings

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.longOrNull
import org.auburnlever.configuration.ProblemCollector

/**
 * Reads the fields of one JSON object and collects every problem instead of stopping at the first.
 *
 * A field with a problem is read as a placeholder of its type, so the caller must not use the result if [collector]
 * holds problems.
 */
internal class SettingsReader(
    private val path: String,
    private val json: JsonObject,
    val collector: ProblemCollector,
) {
    private val readKeys = mutableSetOf<String>()

    /** Returns the full path of the field [key]. */
    fun pathOf(key: String): String = if (path.isEmpty()) key else "$path.$key"

    /** Reads a string; without [default] the field is required. */
    fun string(key: String, default: String? = null): String = optionalString(key) ?: default ?: missing(key, "")

    /** Reads a string that may be left out. */
    fun optionalString(key: String): String? {
        val value = field(key) ?: return null
        val text = (value as? JsonPrimitive)?.takeIf { it.isString }?.content
        if (text == null) collector.add(pathOf(key), value, "a string")
        return text.orEmpty()
    }

    /** Reads a whole number in [range]; without [default] the field is required. */
    fun number(key: String, range: LongRange, default: Long? = null): Long {
        val value = field(key) ?: return default ?: missing(key, range.first)
        val number = (value as? JsonPrimitive)?.takeUnless { it.isString }?.longOrNull
        if (number == null) collector.add(pathOf(key), value, "a whole number from ${range.first} to ${range.last}")
        number?.let { collector.requireRange(pathOf(key), it, range) }
        return number ?: range.first
    }

    /** Reads a list of objects; each must have no other fields than those that [read] reads. */
    fun <T> objects(key: String, read: SettingsReader.() -> T): List<T> {
        val elements = elements(key, required = true)
        return elements.mapIndexed { index, element -> element(pathOf("$key[$index]"), element, read) }
    }

    /** Adds a problem for each field that was not read. */
    fun reportUnknownFields() {
        (json.keys - readKeys).forEach {
            collector.add(pathOf(it), "this unknown field", readKeys.sorted().joinToString())
        }
    }

    /** Reads a list element; one of another type reads as an empty object, so that later ones keep their index. */
    private fun <T> element(elementPath: String, element: JsonElement, read: SettingsReader.() -> T): T {
        if (element !is JsonObject) collector.add(elementPath, element, "an object")
        val reader = SettingsReader(elementPath, element as? JsonObject ?: JsonObject(emptyMap()), collector)
        return reader.read().also { reader.reportUnknownFields() }
    }

    /** Reads a list; an absent one is empty, and a problem if [required]. */
    fun elements(key: String, required: Boolean): List<JsonElement> {
        val value = field(key) ?: return if (required) missing(key, emptyList()) else emptyList()
        if (value !is JsonArray) collector.add(pathOf(key), value, "a list")
        return value as? JsonArray ?: emptyList()
    }

    private fun field(key: String): JsonElement? {
        readKeys += key
        return json[key].takeUnless { it is JsonNull }
    }

    private fun <T> missing(key: String, placeholder: T): T {
        collector.add(pathOf(key), "a missing field", "a value; there is no default")
        return placeholder
    }
}
