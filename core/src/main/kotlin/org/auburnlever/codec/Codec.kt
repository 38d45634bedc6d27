package org.auburnlever.codec

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.SerializationStrategy
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.json.Json
import kotlinx.serialization.serializer

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
    inline fun <reified T> encode(value: T): Bytes = encode(serializer<T>(), value)

    /** The same with the serializer of [T]. */
    fun <T> encode(serializer: SerializationStrategy<T>, value: T): Bytes =
        Bytes(cbor.encodeToByteArray(serializer, value))

    /** Decodes CBOR; throws `SerializationException` if [bytes] are not a valid encoding of [T], whatever they are. */
    inline fun <reified T> decode(bytes: Bytes): T = decode(serializer<T>(), bytes)

    /** The same with the serializer of [T]. */
    fun <T> decode(serializer: DeserializationStrategy<T>, bytes: Bytes): T =
        runCatching { cbor.decodeFromByteArray(serializer, bytes.toByteArray()) }.getOrElse { throw it.asMalformed() }

    /**
     * Returns the documented exception for what the decoder throws, unless the virtual machine has failed.
     *
     * The decoder reports a value that is cut short, a length that is out of range or an item that is nested too deeply
     * by exceptions and errors of the standard library.
     */
    private fun Throwable.asMalformed(): Throwable = when (this) {
        is SerializationException -> this
        is StackOverflowError -> SerializationException("the items are nested too deeply", this)
        is Error -> this
        else -> SerializationException("the bytes are malformed: $message", this)
    }
}
