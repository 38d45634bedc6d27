package org.auburnlever.transport

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/**
 * Forwards TCP connections to [targetPort].
 *
 * After [freeze] the connections open at that time stay open but drop all bytes, as with a middlebox that lost their
 * state; connections opened later work.
 */
internal class FreezableRelay(private val targetPort: Int) : AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val sockets = CopyOnWriteArrayList<Socket>()
    private val frozen = CopyOnWriteArrayList<Socket>()

    val port: Int get() = listener.localPort

    init {
        thread(isDaemon = true) { ignoringIoErrors { while (true) connect(listener.accept()) } }
    }

    fun freeze() = frozen.addAll(sockets)

    override fun close() {
        listener.close()
        sockets.forEach { it.close() }
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
