package org.auburnlever.transport

import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicReference
import kotlin.concurrent.thread

/**
 * Forwards TCP connections to [targetPort].
 *
 * After [freeze] the connections open at that time stay open but drop all bytes, as with a middlebox that lost their
 * state; connections opened later work. Between [stall] and [resume] all connections keep their bytes back.
 */
internal class FreezableRelay(private val targetPort: Int) : AutoCloseable {
    // A small buffer, so that a stall soon blocks the sender.
    private val listener = ServerSocket().apply {
        receiveBufferSize = BUFFER_BYTES
        bind(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG)
    }
    private val sockets = CopyOnWriteArrayList<Socket>()
    private val frozen = CopyOnWriteArrayList<Socket>()
    private val gate = AtomicReference(CountDownLatch(0))

    val port: Int get() = listener.localPort

    init {
        thread(isDaemon = true) { ignoringIoErrors { while (true) connect(listener.accept()) } }
    }

    fun freeze() = frozen.addAll(sockets)

    fun stall() = gate.set(CountDownLatch(1))

    fun resume() = gate.get().countDown()

    /** Closes the open connections. */
    fun cut() = sockets.forEach { it.close() }

    override fun close() {
        listener.close()
        resume()
        cut()
    }

    /** Forwards one connection; if the target does not listen yet, only this connection fails. */
    private fun connect(client: Socket) = ignoringIoErrors { forward(client) }

    private fun forward(client: Socket) {
        val target = Socket(InetAddress.getLoopbackAddress(), targetPort)
        sockets += listOf(client, target)
        thread(isDaemon = true) { ignoringIoErrors { copy(client, target) } }
        thread(isDaemon = true) { ignoringIoErrors { copy(target, client) } }
    }

    private fun copy(from: Socket, to: Socket) {
        val buffer = ByteArray(BUFFER_BYTES)
        var count = from.getInputStream().read(buffer)
        while (count >= 0) {
            gate.get().await()
            if (from !in frozen) to.getOutputStream().write(buffer, 0, count)
            count = from.getInputStream().read(buffer)
        }
        if (from !in frozen) to.close()
    }

    private fun ignoringIoErrors(block: () -> Unit) {
        try {
            block()
        } catch (_: IOException) {
            // A connection that was reset or refused ends, and the others are still forwarded.
            return
        }
    }

    private companion object {
        const val BACKLOG = 50
        const val BUFFER_BYTES = 8_192
    }
}
