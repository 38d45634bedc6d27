package org.auburnlever.entry

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import kotlinx.coroutines.runBlocking
import org.auburnlever.ledger.LedgerCommand
import org.auburnlever.ledger.RequestKey
import org.auburnlever.model.DomainName
import org.auburnlever.model.ServiceName
import org.auburnlever.wire.Headers
import org.auburnlever.wire.Outcome
import org.auburnlever.wire.Paths
import java.util.concurrent.CompletableFuture
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class ServiceRequestServiceTest {
    private fun withHost(
        ledger: FakeLedger = FakeLedger(),
        answer: TestEndpoint.(AggregatedHttpRequest) -> HttpResponse = { it.tagged() },
        test: (TestEntryHost, TestEndpoint) -> Unit,
    ) = TestEndpoint(answer).use { endpoint ->
        TestEntryHost(ledger).use { host ->
            host.announce(announcement(endpoint.port))
            test(host, endpoint)
        }
    }

    @Test
    fun `an announced endpoint runs a repeatable request`() = withHost { host, endpoint ->
        val response = host.request("whale")
        assertEquals("tagged whale", response.contentUtf8())
        assertEquals("completed", response.outcome)
        assertEquals(listOf("whale"), endpoint.received.toList())
    }

    @Test
    fun `a resend gets the first outcome and is not run again`() = withHost { host, endpoint ->
        val responses = List(3) { host.keyedRequest("1764820800-a", "whale").contentUtf8() }
        assertEquals(setOf("tagged whale"), responses.toSet())
        assertEquals(1, endpoint.received.size)
        val reused = host.keyedRequest("1764820800-a", "other body")
        assertEquals("refused" to "key_reused", reused.outcome to reused.errorCode)
    }

    /** Guards against a resend that runs while the first request is still running. */
    @Test
    fun `a resend of a request in progress waits for its outcome`() {
        val release = CompletableFuture<HttpResponse>()
        val arrived = CompletableFuture<AggregatedHttpRequest>()
        val slow: TestEndpoint.(AggregatedHttpRequest) -> HttpResponse = {
            arrived.complete(it)
            HttpResponse.of(release)
        }
        withHost(answer = slow) { host, endpoint ->
            val response = CompletableFuture<String>()
            thread { response.complete(host.keyedRequest("1764820800-a", "whale").contentUtf8()) }
            val request = arrived.join()
            assertEquals("in_progress", host.keyedRequest("1764820800-a", "whale", timeoutMillis = 60).errorCode)
            release.complete(request.tagged())
            assertEquals("tagged whale", host.keyedRequest("1764820800-a", "whale").contentUtf8())
            assertEquals("tagged whale", response.join())
            assertEquals(1, endpoint.received.size)
        }
    }

    /** Guards against the outcome `refused` for a key whose earlier attempt may have run. */
    @Test
    fun `without the ledger a request is refused only on the first attempt with its key`() {
        withHost(FakeLedger { LedgerFault.NOT_SUBMITTED }) { host, endpoint ->
            val keyed = arrayOf(Headers.REPEATABLE to "false", Headers.IDEMPOTENCY_KEY to "1764820800-a")
            assertEquals("unknown", host.request("whale", *keyed).outcome)
            assertEquals("refused", host.request("whale", *keyed, Headers.FIRST_ATTEMPT to "true").outcome)
            assertEquals(0, endpoint.received.size)
        }
        withHost(FakeLedger { LedgerFault.REPLY_LOST }) { host, endpoint ->
            assertEquals("unknown", host.keyedRequest("1764820800-a", "whale").outcome)
            assertEquals(0, endpoint.received.size)
        }
    }

    /** Guards against the outcome `refused` for a key whose account was removed after an earlier attempt had run. */
    @Test
    fun `without its account a keyed request is refused only on the first attempt with its key`() {
        withHost { host, endpoint ->
            val path = "${Paths.SERVICES}/$TAGGING/requests"
            val repeatable = arrayOf("authorization" to "Bearer removed", Headers.IDEMPOTENCY_KEY to "1764820800-a")
            val keyed = arrayOf(*repeatable, Headers.REPEATABLE to "false")
            assertEquals("unknown", host.post(path, "whale", *keyed).outcome)
            assertEquals("refused", host.post(path, "whale", *keyed, Headers.FIRST_ATTEMPT to "true").outcome)
            assertEquals("refused", host.post(path, "whale", *repeatable).outcome)
            assertEquals(0, endpoint.received.size)
        }
    }

    /** Guards against a missing response when the ledger fails after the run. */
    @Test
    fun `the caller gets the response when the outcome may not be recorded`() {
        val fault = { command: LedgerCommand ->
            if (command is LedgerCommand.RecordOutcome) LedgerFault.COMMAND_LOST else LedgerFault.NONE
        }
        withHost(FakeLedger(fault)) { host, _ ->
            val response = host.keyedRequest("1764820800-a", "whale", timeoutMillis = 2_000)
            assertEquals("tagged whale", response.contentUtf8())
        }
    }

    /** Guards against a key that stays claimed after a refusal, and against a second run after a failure. */
    @Test
    fun `a key can be claimed again after a refusal but not after a failure`() {
        var status = HttpStatus.SERVICE_UNAVAILABLE
        withHost(answer = { it.tagged(status, notRun = status == HttpStatus.SERVICE_UNAVAILABLE) }) { host, endpoint ->
            assertEquals("refused", host.keyedRequest("1764820800-a", "whale").outcome)
            status = HttpStatus.INTERNAL_SERVER_ERROR
            val before = endpoint.received.size
            assertEquals(List(2) { "failed" }, List(2) { host.keyedRequest("1764820800-a", "whale").outcome })
            assertEquals(1, endpoint.received.size - before)
        }
    }

    @Test
    fun `a large answer is returned but only its digest is recorded`() {
        val ledger = FakeLedger()
        withHost(ledger) { host, _ ->
            val body = "x".repeat(200)
            assertEquals("tagged $body", host.keyedRequest("1764820800-a", body).contentUtf8())
            val recorded = ledger.outcome(RequestKey(ACCOUNT, "1764820800-a"))
            assertEquals(null, assertIs<Outcome.Completed>(recorded).answer.body)
            val resent = host.keyedRequest("1764820800-a", body)
            assertEquals("completed" to "too_large", resent.outcome to resent.errorCode)
        }
    }

    /** Guards against a host that accepts requests during its shutdown or drops those in progress. */
    @Test
    fun `a host that shuts down refuses new requests and finishes those in progress`() {
        val release = CompletableFuture<HttpResponse>()
        val arrived = CompletableFuture<AggregatedHttpRequest>()
        val slow: TestEndpoint.(AggregatedHttpRequest) -> HttpResponse = {
            arrived.complete(it)
            HttpResponse.of(release)
        }
        val ledger = FakeLedger()
        withHost(ledger, slow) { host, endpoint ->
            val first = CompletableFuture<String>()
            thread { first.complete(host.keyedRequest("1764820800-a", "whale").contentUtf8()) }
            val request = arrived.join()
            host.service.beginDrain()
            val refused = listOf(host.request("new"), host.keyedRequest("1764820800-b", "new"))
            assertEquals(List(2) { "refused" to "shutting_down" }, refused.map { it.outcome to it.errorCode })
            assertEquals(1, runBlocking { host.service.drain(limitMillis = 30) })
            release.complete(request.tagged())
            assertEquals(0, runBlocking { host.service.drain(limitMillis = 5_000) })
            assertEquals("tagged whale", first.join())
            assertIs<Outcome.Completed>(ledger.outcome(RequestKey(ACCOUNT, "1764820800-a")))
            assertEquals(1, endpoint.received.size)
        }
    }

    /** Guards against a burst of large bodies that exhausts the heap. */
    @Test
    fun `large requests beyond the memory limit for bodies are refused until others end`() {
        val release = CompletableFuture<HttpResponse>()
        val arrived = CompletableFuture<AggregatedHttpRequest>()
        val slow: TestEndpoint.(AggregatedHttpRequest) -> HttpResponse = {
            if (arrived.complete(it)) HttpResponse.of(release) else it.tagged()
        }
        withHost(answer = slow) { host, _ ->
            val first = CompletableFuture<String?>()
            thread { first.complete(host.request("x".repeat(8_000)).outcome) }
            val request = arrived.join()
            val second = host.request("x".repeat(8_000))
            assertEquals("refused" to "overloaded", second.outcome to second.errorCode)
            assertEquals("completed", host.request("small").outcome)
            release.complete(request.tagged())
            assertEquals("completed", first.join())
            assertEquals("completed", host.request("x".repeat(8_000)).outcome)
        }
    }

    /** Guards against an error response without an outcome after an internal failure. */
    @Test
    fun `the outcome is unknown after an exception in the ledger client`() {
        withHost(FakeLedger { error("broken client") }) { host, _ ->
            val response = host.keyedRequest("1764820800-a", "whale")
            assertEquals("unknown" to "internal", response.outcome to response.errorCode)
        }
    }

    @Test
    fun `requests with an invalid header, path or size are refused`() = withHost { host, endpoint ->
        val responses = listOf(
            host.post("/v1/services/tagging/requests", "x", "authorization" to "Bearer other"),
            host.post("/v1/services/other/requests", "x", "authorization" to "Bearer $ACCOUNT_TOKEN"),
            host.request("x", Headers.REPEATABLE to "false"),
            host.request("x", Headers.TIMEOUT_MILLIS to "600001"),
            host.request("x", Headers.URGENT to "yes"),
            host.keyedRequest("no-time", "x"),
            host.request("x".repeat(10_001)),
        )
        val codes = listOf("unauthorized", "unknown_service") + List(4) { "bad_request" } + "too_large"
        assertEquals(codes, responses.map { it.errorCode })
        assertEquals(setOf<String?>("refused"), responses.map { it.outcome }.toSet())
        assertEquals(0, endpoint.received.size)
    }

    @Test
    fun `an announcement with an invalid field or token is refused`() = withHost { host, _ ->
        val good = announcement(port = 9_000)
        val bad = listOf(
            good.copy(address = "host.example:80"),
            good.copy(address = "10.0.0.1:0"),
            good.copy(address = "10.0.0.256:80"),
            good.copy(slots = 0),
            good.copy(connections = 1),
            good.copy(sequence = -1),
            good.copy(failureDomain = DomainName("other")),
            good.copy(service = ServiceName("other")),
        )
        assertEquals(setOf<String?>("bad_request"), bad.map { host.announce(it).errorCode }.toSet())
        assertEquals("unauthorized", host.announce(good, token = ACCOUNT_TOKEN).errorCode)
        assertEquals(HttpStatus.OK, host.announce(good.copy(address = "[::1]:80")).status())
    }
}
