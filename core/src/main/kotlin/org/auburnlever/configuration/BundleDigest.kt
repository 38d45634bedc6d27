package org.auburnlever.configuration

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.auburnlever.codec.Codec
import java.security.MessageDigest
import java.util.HexFormat

/**
 * Leaves out fields with their default value, so that a later version that adds a field with a default computes the
 * same digest for a bundle without it. Allows NaN and infinity, which can arrive in CBOR, so that validation reports
 * them instead of an exception here.
 */
private val canonicalJson = Json(Codec.json) {
    encodeDefaults = false
    allowSpecialFloatingPointValues = true
}

/**
 * Returns the canonical JSON of the bundle: keys sorted, no white space, fields with default values left out.
 *
 * The result does not depend on comments, layout or key order of the file that the bundle was read from.
 */
fun Bundle.canonicalJson(): String =
    canonicalJson.encodeToJsonElement(Bundle.serializer(), this).sorted().toString()

/** Returns the SHA-256 of [canonicalJson] as lower-case hex; operators sign this text. */
fun Bundle.digestHex(): String {
    val bytes = canonicalJson().encodeToByteArray()
    return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes))
}

private fun JsonElement.sorted(): JsonElement =
    when (this) {
        is JsonObject -> JsonObject(entries.sortedBy { it.key }.associate { it.key to it.value.sorted() })
        is JsonArray -> JsonArray(map { it.sorted() })
        is JsonPrimitive -> this
    }
