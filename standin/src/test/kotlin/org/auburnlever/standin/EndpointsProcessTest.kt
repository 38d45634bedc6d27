package org.auburnlever.standin

import com.linecorp.armeria.client.UnprocessedRequestException
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.RequestHeaders
import kotlinx.coroutines.runBlocking
import org.auburnlever.codec.Codec
import org.auburnlever.wire.Headers
import org.auburnlever.wire.Paths
import java.util.concurrent.CompletionException
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertNotEquals

class EndpointsProcessTest {
    private val entryHost = FakeEntryHost()
    private val settings = EndpointSettings("endpoint-0", "tag", "thies-a", 2, 64, EndpointBehaviour())

    // No host listens at the first address: announcements must fail over to the second one.
    private val process = EndpointsProcess(listOf(settings), listOf("127.0.0.1:1", entryHost.address), "token", 0, 0)
        .also { it.start() }
    private val address = entryHost.await(entryHost.announcements) { !it.leaving }.address
    private val control = WebClient.of("http://$LOOPBACK:${process.controlPort}")

    @AfterTest
    fun close() {
        process.close()
        entryHost.close()
    }

    @Test
    fun `an answer carries the request id, its content length and the digest of the request body`() {
        val response = send("r-1", "hello")
        val answer = Codec.json.decodeFromString(EndpointAnswer.serializer(), response.contentUtf8())
        assertEquals("r-1", response.headers().get(Headers.REQUEST_ID))
        assertEquals(response.content().length().toString(), response.headers().get(HttpHeaderNames.CONTENT_LENGTH))
        assertEquals(sha256Hex("hello".encodeToByteArray()), answer.bodySha256Hex)
    }

    @Test
    fun `each run is counted by key, request id and body, so that a second run is detected`() {
        send("r-1", "same", key = "1-a")
        send("r-2", "same", key = "1-a")
        assertEquals("2", control.get("/control/runs/1-a").aggregate().join().contentUtf8())
        assertEquals("1", control.get("/control/runs/r-2").aggregate().join().contentUtf8())
        assertEquals("2", control.get("/control/runs/${sha256Hex("same".encodeToByteArray())}").body())
    }

    @Test
    fun `a refused request carries the not-run header and counts no run, a failed one counts a run`() {
        setBehaviour("""{"mode":"refuse"}""")
        assertEquals("true", send("r-1", "body", key = "1-a").headers().get(Headers.NOT_RUN))
        assertEquals("0", control.get("/control/runs/1-a").body())
        setBehaviour("""{"mode":"fail"}""")
        val failed = send("r-2", "body", key = "1-a")
        assertEquals(HttpStatus.INTERNAL_SERVER_ERROR, failed.status())
        assertFalse(failed.headers().contains(Headers.NOT_RUN))
        assertEquals("1", control.get("/control/runs/1-a").body())
    }

    @Test
    fun `an answer that is cut short fails at the client, and an answer can carry a wrong request id`() {
        setBehaviour("""{"mode":"cut_short"}""")
        val error = assertFailsWith<CompletionException> { send("r-1", "body") }
        assertFalse(error.cause is UnprocessedRequestException)
        setBehaviour("""{"mode":"wrong_id"}""")
        assertNotEquals("r-2", send("r-2", "body").headers().get(Headers.REQUEST_ID))
    }

    @Test
    fun `a shutdown announces leaving and finishes the request in progress`() {
        // Longer than the time between two announcements, so that one of them sees the request in progress.
        setBehaviour("""{"delayMillis":1500}""")
        val response = request("r-1", "body", null).aggregate()
        entryHost.await(entryHost.announcements) { inFlight() == 1 }
        runBlocking { process.shutDown() }
        assertIs<Any>(entryHost.await(entryHost.announcements) { it.leaving })
        assertEquals(HttpStatus.OK, response.join().status())
    }

    private fun inFlight(): Int = Codec.json
        .decodeFromString(EndpointView.serializer(), control.get("/control/endpoints/endpoint-0").body())
        .inFlight

    private fun setBehaviour(json: String) {
        val response = control.put("/control/endpoints/endpoint-0/behaviour", json).aggregate().join()
        assertEquals(HttpStatus.NO_CONTENT, response.status())
    }

    private fun send(id: String, body: String, key: String? = null): AggregatedHttpResponse =
        request(id, body, key).aggregate().join()

    private fun request(id: String, body: String, key: String?) = RequestHeaders
        .builder(HttpMethod.POST, Paths.ENDPOINT_REQUESTS)
        .add(Headers.REQUEST_ID, id)
        .apply { key?.let { add(Headers.IDEMPOTENCY_KEY, it) } }
        .build()
        .let { WebClient.of("h1c://$address").execute(it, body) }

    private fun HttpResponse.body(): String = aggregate().join().contentUtf8()
}
