package org.auburnlever.entry

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.RequestHeaders
import org.auburnlever.wire.Headers
import java.util.concurrent.CompletableFuture
import kotlin.test.Test
import kotlin.test.assertEquals

/** Shuts entry hosts down while requests are in progress. */
class RequestTrackerTest {
    private val arrived = CompletableFuture<AggregatedHttpRequest>()
    private val release = CompletableFuture<HttpResponse>()

    private fun answerDuringShutdown(
        protocol: String,
        endMillis: Long,
        afterBegin: TestEndpoint.() -> Unit,
    ): AggregatedHttpResponse {
        val slow: TestEndpoint.(AggregatedHttpRequest) -> HttpResponse = {
            arrived.complete(it)
            HttpResponse.of(release)
        }
        return TestEndpoint(slow).use { endpoint ->
            TestEntryHost(FakeLedger(), protocol = protocol).use { host ->
                host.announce(announcement(endpoint.port))
                val answer = CompletableFuture.supplyAsync { host.keyedRequest("1764820800-a", "whale") }
                arrived.join()
                host.tracker.beginShutdown()
                endpoint.afterBegin()
                val nowMillis = host.clock()
                val schedule = ShutdownSchedule(nowMillis, nowMillis + endMillis, nowMillis + endMillis + 1_000)
                host.tracker.drain(schedule, host.clock) { Thread.sleep(5) }
                answer.join()
            }
        }
    }

    /** Guards against a 503 without an outcome for a request that runs on an endpoint. */
    @Test
    fun `a request that is in progress at the shutdown limit has an unknown outcome`() {
        val response = answerDuringShutdown("h1c", endMillis = 50) { }
        assertEquals(504, response.status().code())
        assertEquals("unknown" to "deadline_exceeded", response.outcome to response.errorCode)
    }

    /** Guards against connections that are closed before the response. */
    @Test
    fun `a request that ends during the shutdown is answered over each protocol`() {
        listOf("h1c", "h2c").forEach { protocol ->
            val test = RequestTrackerTest()
            val response = test.answerDuringShutdown(protocol, endMillis = 5_000) {
                test.release.complete(test.arrived.join().tagged())
            }
            assertEquals("completed", response.outcome, protocol)
        }
    }

    /** Guards against a refusal of a resend, as the request may have run at its first attempt. */
    @Test
    fun `only a request that can not have run before is refused at an early end`() {
        val end = EarlyEnd(EarlyEndCause.SHUTDOWN, isHandedOn = false, "test")
        val plain = RequestHeaders.of(HttpMethod.POST, "/")
        val keyed = plain.withMutations { it.set(Headers.IDEMPOTENCY_KEY, "1764820800-a") }
        val first = keyed.withMutations { it.set(Headers.FIRST_ATTEMPT, "true") }
        val outcomes = listOf(plain, keyed, first).map { headers ->
            earlyEndResponse(headers, end).aggregate().join().outcome
        }
        assertEquals(listOf<String?>("refused", "unknown", "refused"), outcomes)
        assertEquals(503, earlyEndResponse(plain, end).aggregate().join().status().code())
        val handedOn = earlyEndResponse(first, end.copy(isHandedOn = true)).aggregate().join()
        assertEquals("unknown", handedOn.outcome)
    }
}
