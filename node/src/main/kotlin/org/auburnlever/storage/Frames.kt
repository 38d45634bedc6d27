package org.auburnlever.storage

import java.nio.ByteBuffer
import java.nio.file.Path
import java.util.zip.CRC32C

// Length of the payload, checksum of the payload, and checksum of these two fields.
private const val HEADER_BYTES = 3 * Int.SIZE_BYTES
private const val CHECKED_HEADER_BYTES = 2 * Int.SIZE_BYTES

/** Payloads read from a file and the length of its valid part, which is less than its size after a torn write. */
internal data class ReadFrames(val payloads: List<ByteArray>, val validBytes: Long)

/** Returns [payload] preceded by its length and CRC32C checksums. */
internal fun frameOf(payload: ByteArray): ByteArray = frameHeaderOf(payload) + payload

/** Returns the header that precedes [payload] in a frame. */
internal fun frameHeaderOf(payload: ByteArray): ByteArray {
    val header = ByteBuffer.allocate(HEADER_BYTES)
    header.putInt(payload.size).putInt(checksum(payload, 0, payload.size))
    return header.putInt(checksum(header.array(), 0, CHECKED_HEADER_BYTES)).array()
}

/**
 * Reads the frames in [bytes], the content of [file].
 *
 * A damaged frame with no valid frame after it is a torn write, one that did not finish: with [mayBeTorn] the result
 * ends before it. Any other damage is an error, since it affects data that was synced.
 */
internal fun readFrames(file: Path, bytes: ByteArray, mayBeTorn: Boolean): ReadFrames {
    val payloads = mutableListOf<ByteArray>()
    var offset = 0
    while (offset < bytes.size) {
        val payload = payloadAt(bytes, offset) ?: break
        payloads += payload
        offset += HEADER_BYTES + payload.size
    }
    if (offset < bytes.size && !(mayBeTorn && noFrameAfter(bytes, offset))) {
        throw corrupt(file, offset.toLong(), "length or checksum of the record is wrong")
    }
    return ReadFrames(payloads, offset.toLong())
}

private fun noFrameAfter(bytes: ByteArray, offset: Int): Boolean =
    (offset + 1..bytes.size - HEADER_BYTES).none { payloadAt(bytes, it) != null }

private fun payloadAt(bytes: ByteArray, offset: Int): ByteArray? {
    if (bytes.size - offset < HEADER_BYTES) return null
    val header = ByteBuffer.wrap(bytes, offset, HEADER_BYTES)
    val size = header.getInt()
    val payloadChecksum = header.getInt()
    val start = offset + HEADER_BYTES
    val valid = size in 0..bytes.size - start &&
        header.getInt() == checksum(bytes, offset, CHECKED_HEADER_BYTES) &&
        payloadChecksum == checksum(bytes, start, size)
    return if (valid) bytes.copyOfRange(start, start + size) else null
}

private fun checksum(bytes: ByteArray, offset: Int, size: Int): Int =
    CRC32C().apply { update(bytes, offset, size) }.value.toInt()
