package org.auburnlever.entry

import org.auburnlever.wire.Headers
import java.io.BufferedReader
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** A request that a [RawEndpoint] received. */
internal class RawRequest(val id: String, val body: String)

/** Bytes that a [RawEndpoint] sends as its answer, and whether it closes the connection afterwards. */
internal class RawAnswer(val bytes: String, val close: Boolean = false)

/** An endpoint that can answer with arbitrary bytes, including invalid HTTP. */
internal class RawEndpoint(private val answer: (RawRequest) -> RawAnswer) : AutoCloseable {
    private val socket = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    val port: Int get() = socket.localPort
    val connections = AtomicInteger()
    val closedByClient = AtomicInteger()

    init {
        thread(isDaemon = true) { acceptAll() }
    }

    override fun close() = socket.close()

    private fun acceptAll() {
        try {
            while (true) {
                val connection = socket.accept()
                connections.incrementAndGet()
                thread(isDaemon = true) { serve(connection) }
            }
        } catch (_: IOException) {
            return
        }
    }

    private fun serve(connection: Socket) = connection.use {
        val reader = it.getInputStream().bufferedReader()
        var request = read(reader)
        while (request != null) {
            val answer = answer(request)
            it.getOutputStream().write(answer.bytes.encodeToByteArray())
            it.getOutputStream().flush()
            request = if (answer.close) null else read(reader)
        }
        closedByClient.incrementAndGet()
    }

    private fun read(reader: BufferedReader): RawRequest? =
        try {
            val lines = generateSequence { reader.readLine() }.takeWhile { it.isNotEmpty() }.toList()
            val headers = lines.drop(1).associate { it.substringBefore(':').lowercase() to it.substringAfter(": ") }
            val body = CharArray(headers["content-length"]?.toInt() ?: 0)
            if (lines.isEmpty() || reader.read(body) < body.size) {
                null
            } else {
                RawRequest(headers.getValue(Headers.REQUEST_ID), String(body))
            }
        } catch (_: IOException) {
            null
        }

    private companion object {
        const val BACKLOG = 50
    }
}

/** Returns an HTTP response; [length] sets the content-length header and may differ from the body's length. */
internal fun rawAnswer(
    id: String?,
    body: String,
    status: String = "200 OK",
    length: Int? = body.length,
    extra: String = "",
): String {
    val echo = if (id == null) "" else "${Headers.REQUEST_ID}: $id\r\n"
    val lengthLine = if (length == null) "" else "content-length: $length\r\n"
    return "HTTP/1.1 $status\r\ncontent-type: text/plain\r\n$echo$lengthLine$extra\r\n$body"
}
