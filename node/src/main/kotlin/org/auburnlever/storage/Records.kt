package org.auburnlever.storage

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.encodeToByteArray
import org.auburnlever.codec.Bytes
import org.auburnlever.codec.Codec
import org.auburnlever.consensus.DurableWrite
import java.nio.file.Path

private val BATCH_SERIALIZER = ListSerializer(DurableWrite.serializer())

/** Encodes [value] as a record: CBOR in one frame. */
@OptIn(ExperimentalSerializationApi::class)
internal inline fun <reified T> encodeRecord(value: T): ByteArray = frameOf(Codec.cbor.encodeToByteArray(value))

/** Encodes a batch as one record. The serializer is kept, since looking it up by type costs time on each batch. */
@OptIn(ExperimentalSerializationApi::class)
internal fun encodeBatch(writes: List<DurableWrite>): ByteArray =
    frameOf(Codec.cbor.encodeToByteArray(BATCH_SERIALIZER, writes))

/** Decodes the content of [file], which must hold exactly one frame. */
internal inline fun <reified T> decodeRecord(file: Path, frames: ReadFrames): T =
    decodePayload(file, frames.payloads.singleOrNull() ?: throw corrupt(file, 0, "expected exactly one record"))

/** Decodes one frame's [payload], read from [file]. */
internal inline fun <reified T> decodePayload(file: Path, payload: ByteArray): T = try {
    Codec.decode(Bytes(payload))
} catch (failure: SerializationException) {
    throw corrupt(file, 0, "record can't be decoded: ${failure.message}").apply { initCause(failure) }
}
