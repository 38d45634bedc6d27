package org.auburnlever.transport

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/**
 * Forwards TCP connections to [targetPort]. [freeze] makes the open ones swallow all bytes while they stay open, as a
 * middlebox does that lost track of them; connections opened later work.
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

    /** A target that does not listen yet refuses one connection; the relay goes on with later ones. */
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
            // A connection that was reset ends alone; the relay goes on with the others.
            return
        }
    }

    private companion object {
        const val BACKLOG = 50
        const val BUFFER_BYTES = 8_192
    }
}
