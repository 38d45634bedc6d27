package org.auburnlever.transport

import org.auburnlever.codec.Bytes
import org.auburnlever.codec.Codec
import org.auburnlever.codec.deflated
import org.auburnlever.codec.inflated
import org.auburnlever.peer.PeerMessage

/**
 * Splits large messages into deflated parts, and joins the parts that arrive on one link.
 *
 * Each part is a frame of its own, so the receiver hears from the sender while a large message is on its way over a
 * slow link, and does not take the link for broken.
 */
internal class MessageParts {
    private var parts = emptyList<Bytes>()
    private var receivedBytes = 0

    /** Returns the message that is complete with [frame]; null if more parts follow. Throws [FrameException]. */
    fun receive(frame: PeerMessage): PeerMessage? {
        val part = frame as? PeerMessage.Part
        if (part == null) {
            if (parts.isNotEmpty()) throw FrameException("a message with ${parts.size} parts is incomplete")
            return frame
        }
        parts = parts + part.data
        receivedBytes += part.data.size
        if (receivedBytes > MAX_MESSAGE_BYTES) throw FrameException("a message exceeds $MAX_MESSAGE_BYTES bytes")
        return if (part.last) joined() else null
    }

    private fun joined(): PeerMessage {
        val message: PeerMessage = Codec.decode(Bytes.concat(parts).inflated())
        parts = emptyList()
        receivedBytes = 0
        return message
    }

    companion object {
        /** Largest encoded message; an order of the largest size has to fit. */
        const val MAX_MESSAGE_BYTES = 16 * 1_024 * 1_024

        /** Largest message that is sent as it is; a larger one would keep those behind it waiting on a slow link. */
        private const val PART_BYTES = 128 * 1_024

        /** Returns the payloads of the frames that hold the encoded message [payload]. */
        fun split(payload: ByteArray): Sequence<ByteArray> {
            if (payload.size <= PART_BYTES) return sequenceOf(payload)
            val deflated = Bytes(payload).deflated()
            return (0 until deflated.size step PART_BYTES).asSequence().map { start ->
                val end = minOf(start + PART_BYTES, deflated.size)
                val part = PeerMessage.Part(end == deflated.size, deflated.slice(start, end))
                Codec.encode<PeerMessage>(part).toByteArray()
            }
        }
    }
}
