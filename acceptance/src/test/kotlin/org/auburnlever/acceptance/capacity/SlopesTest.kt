package org.auburnlever.acceptance.capacity

import org.auburnlever.acceptance.HttpCall
import org.auburnlever.acceptance.HttpCalls
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class SlopesTest {
    @Test
    fun `a line through points on a line has their slope`() {
        // Guards against a wrong fit, from which larger sizes are extrapolated.
        val line = fitLine(listOf(0.0, 40.0, 160.0), listOf(5.0, 13.0, 37.0))
        assertEquals(0.2, line.slope, TOLERANCE)
        assertEquals(5.0, line.intercept, TOLERANCE)
    }

    @Test
    fun `points off the line are fitted by least squares`() {
        // Guards against a slope that depends only on the first and last points.
        val line = fitLine(listOf(0.0, 1.0, 2.0, 3.0), listOf(0.0, 3.0, 0.0, 3.0))
        assertEquals(0.6, line.slope, TOLERANCE)
        assertEquals(0.6, line.intercept, TOLERANCE)
    }

    @Test
    fun `a relay counts the bytes of both directions`() {
        // Guards against byte counts that miss one direction or confuse the two.
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
            thread(isDaemon = true) { answerOnce(server) }
            CountingRelay(server.localPort).use { relay ->
                val answer = HttpCalls.send(HttpCall("POST", relay.address, "/", "x".repeat(BODY_BYTES)))
                assertEquals("ok", answer.body)
                assertEquals(ANSWER.length.toLong(), relay.receivedBytes)
                assertTrue(relay.sentBytes > BODY_BYTES, "only ${relay.sentBytes} bytes were counted")
            }
        }
    }

    private fun answerOnce(server: ServerSocket) {
        server.accept().use { socket ->
            val input = socket.getInputStream().buffered()
            var body = 0
            while (body < BODY_BYTES) if (input.read() == 'x'.code) body++
            socket.getOutputStream().write(ANSWER.encodeToByteArray())
            socket.getOutputStream().flush()
            while (input.read() >= 0) body++
        }
    }

    private companion object {
        const val TOLERANCE = 1e-9
        const val BODY_BYTES = 5_000
        const val ANSWER = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
    }
}
