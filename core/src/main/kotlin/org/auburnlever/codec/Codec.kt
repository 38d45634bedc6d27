package org.auburnlever.codec

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.json.Json

/**
 * The two encodings of the project: CBOR between its own processes and in its files, JSON towards everyone else.
 *
 * Unknown CBOR keys are ignored, so that processes of neighbouring versions understand each other.
 */
@OptIn(ExperimentalSerializationApi::class)
object Codec {
    /** CBOR for peer links, log records and snapshots. */
    val cbor: Cbor = Cbor {
        alwaysUseByteString = true
        ignoreUnknownKeys = true
    }

    /** JSON of the HTTP interface: refuses unknown keys, so that a misspelt field is an error. */
    val json: Json = Json {
        encodeDefaults = true
        explicitNulls = false
        classDiscriminator = "kind"
    }

    /** Like [json], for settings and bundles written by people: allows comments and trailing commas. */
    val commentedJson: Json = Json(json) {
        allowComments = true
        allowTrailingComma = true
    }

    /** Encodes [value] as CBOR. */
    inline fun <reified T> encode(value: T): Bytes = Bytes(cbor.encodeToByteArray(value))

    /** Decodes CBOR; throws `SerializationException` if [bytes] do not hold a [T]. */
    inline fun <reified T> decode(bytes: Bytes): T = cbor.decodeFromByteArray(bytes.toByteArray())
}
