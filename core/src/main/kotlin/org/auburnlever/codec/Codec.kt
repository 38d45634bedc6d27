package org.auburnlever.codec

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.json.Json

/**
 * The two data formats: CBOR between `auburnd` processes and in their files, JSON for all other interfaces.
 *
 * Unknown CBOR keys are ignored, so that processes of successive versions can exchange messages.
 */
@OptIn(ExperimentalSerializationApi::class)
object Codec {
    /** CBOR for peer links, log records and snapshots. */
    val cbor: Cbor = Cbor {
        alwaysUseByteString = true
        ignoreUnknownKeys = true
    }

    /** JSON of the HTTP interface; unknown keys are errors, so that misspelt fields are noticed. */
    val json: Json = Json {
        encodeDefaults = true
        explicitNulls = false
        classDiscriminator = "kind"
    }

    /** Like [json], but permits comments and trailing commas, for settings and bundles that people edit. */
    val commentedJson: Json = Json(json) {
        allowComments = true
        allowTrailingComma = true
    }

    /** Encodes [value] as CBOR. */
    inline fun <reified T> encode(value: T): Bytes = Bytes(cbor.encodeToByteArray(value))

    /** Decodes CBOR; throws `SerializationException` if [bytes] are not a valid encoding of [T]. */
    inline fun <reified T> decode(bytes: Bytes): T = cbor.decodeFromByteArray(bytes.toByteArray())
}
