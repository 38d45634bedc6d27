package org.auburnlever.settings

import kotlinx.serialization.json.JsonPrimitive

/** Reads a TCP port; without [default] the field is required. */
internal fun SettingsReader.port(key: String, default: Int? = null): Int {
    val port = number(key, 1L..MAX_PORT, default?.toLong())
    return port.toInt()
}

/** Reads one of [values] by its name in lower case; an absent field reads as [default]. */
internal fun <E : Enum<E>> SettingsReader.choice(key: String, values: List<E>, default: E): E {
    val text = optionalString(key) ?: return default
    val found = values.firstOrNull { it.name.lowercase() == text }
    if (found == null) collector.add(pathOf(key), "\"$text\"", values.joinToString(" or ") { it.name.lowercase() })
    return found ?: default
}

/** Reads a list of strings; an absent list is empty. */
internal fun SettingsReader.strings(key: String): List<String> {
    val elements = elements(key, required = false)
    return elements.mapIndexedNotNull { index, element ->
        val text = (element as? JsonPrimitive)?.takeIf { it.isString }?.content
        if (text == null) collector.add(pathOf("$key[$index]"), element, "a string")
        text
    }
}

private const val MAX_PORT = 65_535L
