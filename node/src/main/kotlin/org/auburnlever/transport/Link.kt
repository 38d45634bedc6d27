package org.auburnlever.transport

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import org.auburnlever.codec.Bytes
import org.auburnlever.codec.Codec
import org.auburnlever.model.HostName
import org.auburnlever.peer.PeerMessage
import java.util.concurrent.TimeUnit

private val logger = KotlinLogging.logger {}

/** One authenticated connection to [peer], used in both directions until it fails or no frame arrives for too long. */
internal class Link(
    val peer: HostName,
    private val frames: FrameChannel,
    private val sendAuthenticator: FrameAuthenticator,
    private val receiveAuthenticator: FrameAuthenticator,
    private val counters: LinkCounters,
) {
    private val outgoing = Channel<OutgoingFrame>(QUEUE_FRAMES)

    @Volatile
    private var lastReceivedNanos = System.nanoTime()

    /** Whether the peer's last frame is at most [RECENT_FRAME_MILLIS] old. */
    val hasRecentFrame: Boolean
        get() = System.nanoTime() - lastReceivedNanos < TimeUnit.MILLISECONDS.toNanos(RECENT_FRAME_MILLIS)

    /** A queued payload; it is dropped if [beginWrite] returns false when its turn comes. */
    private class OutgoingFrame(val payload: ByteArray, val beginWrite: () -> Boolean)

    /**
     * Queues [message]; returns false and drops it if it is too large, the queue is full or the link is closed.
     *
     * [beginWrite] is called just before the first byte is written, and returns whether the message is still wanted.
     */
    fun offer(message: PeerMessage, beginWrite: () -> Boolean = { true }): Boolean {
        val payload = Codec.encode(message).toByteArray()
        if (payload.size > MessageParts.MAX_MESSAGE_BYTES) {
            counters.oversizedMessages.increment()
            logger.warn { "a message of ${payload.size} bytes to $peer exceeds the limit and is dropped" }
            return false
        }
        return outgoing.trySend(OutgoingFrame(payload, beginWrite)).isSuccess
    }

    /** Reads and writes frames until the link ends; [onMessage] gets each message received. */
    suspend fun run(onMessage: CoroutineScope.(PeerMessage) -> Unit) {
        try {
            coroutineScope {
                val writer = launch { writeFrames() }
                readFrames { onMessage(it) }
                writer.cancel()
            }
        } finally {
            close()
        }
    }

    fun close() {
        outgoing.close()
        frames.close()
    }

    private suspend fun writeFrames() {
        var frame = nextFrame()
        while (frame != null) {
            write(frame)
            writeQueued()
            frames.flush()
            frame = nextFrame()
        }
    }

    /** Waits for a frame; returns a keep-alive if none is queued in time and null once the link is closed. */
    @OptIn(ExperimentalCoroutinesApi::class)
    private suspend fun nextFrame(): OutgoingFrame? =
        select {
            outgoing.onReceiveCatching { it.getOrNull() }
            onTimeout(KEEP_ALIVE_MILLIS) { KEEP_ALIVE }
        }

    private suspend fun writeQueued() {
        var next = outgoing.tryReceive().getOrNull()
        while (next != null) {
            write(next)
            next = outgoing.tryReceive().getOrNull()
        }
    }

    private suspend fun write(frame: OutgoingFrame) {
        if (!frame.beginWrite()) return
        for (payload in MessageParts.split(frame.payload)) {
            frames.write(payload, sendAuthenticator)
            counters.sentBytes.increment(payload.size.toDouble())
            // Each part has to leave at once, since the peer closes a link on which it hears nothing.
            if (payload !== frame.payload) frames.flush()
        }
    }

    private suspend fun readFrames(onMessage: (PeerMessage) -> Unit) {
        val parts = MessageParts()
        while (true) {
            val payload = withTimeoutOrNull(RECEIVE_TIMEOUT_MILLIS) { frames.read(receiveAuthenticator) }
            if (payload == null) {
                counters.closedSilent.increment()
                return
            }
            lastReceivedNanos = System.nanoTime()
            counters.receivedBytes.increment(payload.size.toDouble())
            if (payload.isNotEmpty()) parts.receive(Codec.decode(Bytes(payload)))?.let(onMessage)
        }
    }

    companion object {
        /** Interval of keep-alive frames on an idle link. */
        const val KEEP_ALIVE_MILLIS = 500L

        /** A link that receives no frame for this long is closed; a working peer sends four in that time. */
        const val RECEIVE_TIMEOUT_MILLIS = 2_000L

        /**
         * A peer counts as reachable this long after its last frame: two keep-alive intervals and a round trip.
         *
         * New calls go only to hosts that count as reachable.
         */
        const val RECENT_FRAME_MILLIS = 1_200L

        private const val QUEUE_FRAMES = 1_024
        private val KEEP_ALIVE = OutgoingFrame(ByteArray(0)) { true }
    }
}
