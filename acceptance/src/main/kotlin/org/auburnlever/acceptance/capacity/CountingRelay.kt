package org.auburnlever.acceptance.capacity

import org.auburnlever.acceptance.LOOPBACK_ADDRESS
import java.io.IOException
import java.io.InputStream
import java.io.OutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

/**
 * Relays TCP connections to [targetPort] on loopback and counts the bytes that they carry.
 *
 * The counts include HTTP headers and bodies but not TCP and IP headers.
 */
internal class CountingRelay(private val targetPort: Int) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val sent = AtomicLong()
    private val received = AtomicLong()

    /** Address to which the process connects whose bytes are counted. */
    val address: String = "$LOOPBACK_ADDRESS:${server.localPort}"

    /** Bytes received from the connecting process so far, which that process sent. */
    val sentBytes: Long get() = sent.get()

    /** Bytes sent to the connecting process so far, which that process received. */
    val receivedBytes: Long get() = received.get()

    init {
        startThread { while (!server.isClosed) relayConnection(server.accept()) }
    }

    override fun close() = server.close()

    private fun relayConnection(client: Socket) {
        val target = Socket(InetAddress.getLoopbackAddress(), targetPort)
        startThread { forward(client, target, sent) }
        startThread { forward(target, client, received) }
    }

    private fun forward(from: Socket, to: Socket, counter: AtomicLong) =
        from.use { to.use { copyCounted(from.getInputStream(), to.getOutputStream(), counter) } }

    private fun copyCounted(input: InputStream, output: OutputStream, counter: AtomicLong) {
        val buffer = ByteArray(BUFFER_BYTES)
        var count = input.read(buffer)
        while (count >= 0) {
            counter.addAndGet(count.toLong())
            output.write(buffer, 0, count)
            count = input.read(buffer)
        }
    }

    /** Runs [block] in a thread that a closed connection ends; the process at the other end notices that itself. */
    private fun startThread(block: () -> Unit) {
        thread(isDaemon = true, name = "relay") {
            try {
                block()
            } catch (_: IOException) {
                server.isClosed
            }
        }
    }

    private companion object {
        const val BACKLOG = 16
        const val BUFFER_BYTES = 8_192
    }
}
