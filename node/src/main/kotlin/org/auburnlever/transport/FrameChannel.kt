package org.auburnlever.transport

import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt

/** A received frame has an invalid length or authentication tag; the link is closed. */
internal class FrameException(message: String) : Exception(message)

/** Reads and writes length-prefixed frames on a TCP connection. */
internal class FrameChannel(private val socket: Socket) {
    private val input: ByteReadChannel = socket.openReadChannel()
    private val output: ByteWriteChannel = socket.openWriteChannel(autoFlush = false)

    /** Writes one frame without an authentication tag, as used in the handshake, and flushes. */
    suspend fun writeUnauthenticated(payload: ByteArray) {
        output.writeInt(payload.size)
        output.writeByteArray(payload)
        output.flush()
    }

    /** Reads one frame without an authentication tag, of at most [MAX_HANDSHAKE_BYTES], as used in the handshake. */
    suspend fun readUnauthenticated(): ByteArray =
        input.readByteArray(checkedLength(input.readInt(), MAX_HANDSHAKE_BYTES))

    /** Writes one authenticated frame without flushing; an empty [payload] is a keep-alive. */
    suspend fun write(payload: ByteArray, authenticator: FrameAuthenticator) {
        output.writeInt(payload.size)
        output.writeByteArray(authenticator.nextTag(payload))
        output.writeByteArray(payload)
    }

    suspend fun flush() = output.flush()

    /** Reads one authenticated frame; throws [FrameException] if its length or tag is invalid. */
    suspend fun read(authenticator: FrameAuthenticator): ByteArray {
        val length = checkedLength(input.readInt(), MAX_FRAME_BYTES)
        val tag = input.readByteArray(FrameAuthenticator.TAG_BYTES)
        val payload = input.readByteArray(length)
        if (!constantTimeEquals(tag, authenticator.nextTag(payload))) {
            throw FrameException("frame of $length bytes has a wrong authentication tag")
        }
        return payload
    }

    fun close() = socket.close()

    private fun checkedLength(length: Int, maxBytes: Int): Int {
        if (length !in 0..maxBytes) throw FrameException("frame length $length is not within 0..$maxBytes")
        return length
    }

    companion object {
        /** Largest payload of a frame; larger messages are sent in parts. */
        const val MAX_FRAME_BYTES = 1_048_576
        private const val MAX_HANDSHAKE_BYTES = 1_024
    }
}
