package org.auburnlever.acceptance

import org.auburnlever.codec.Codec
import org.auburnlever.standin.EndpointAnswer
import org.auburnlever.standin.EndpointBehaviour
import org.auburnlever.wire.Paths
import java.util.concurrent.CompletableFuture
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ShutdownFaultsTest {
    private val cluster = FaultCluster("shutdown")

    @AfterTest
    fun close() = cluster.close()

    @Test
    fun `a leaving endpoint gets no work after 3 s, and a terminated host finishes its requests`() {
        val endpoints = cluster.start().startEndpoints(DOMAIN, listOf("--count", "3"))
        checkLeavingEndpointGetsNoWork(endpoints)
        checkTerminatedHostFinishes(endpoints)
    }

    /** Guards against an entry host that keeps sending requests to an endpoint that announced its leave. */
    private fun checkLeavingEndpointGetsNoWork(endpoints: StandInControl) {
        val leaving = endpoints.endpoints().first().endpoint
        endpoints.announceLeave(leaving)
        val leftAt = System.currentTimeMillis()
        inParallel(cluster.hosts) { host ->
            while (System.currentTimeMillis() < leftAt + OBSERVATION_MILLIS) {
                assertEquals("completed", cluster.request(host, "while leaving").outcome)
            }
        }
        val last = endpoints.endpoints().first { it.endpoint == leaving }.lastArrivalMillis
        println("last request ${last - leftAt} ms after the leave")
        assertTrue(last <= leftAt + LEAVE_LIMIT_MILLIS, "a request arrived ${last - leftAt} ms after the leave")
        assertTrue(endpoints.endpoints().filter { it.endpoint != leaving }.all { it.lastArrivalMillis > last })
    }

    /** Guards against a shutdown that aborts requests, or that accepts new ones after the health check reports 503. */
    private fun checkTerminatedHostFinishes(endpoints: StandInControl) {
        val behaviour = EndpointBehaviour(delayMillis = SLOW_REQUEST_MILLIS)
        endpoints.endpoints().forEach { endpoints.setBehaviour(it.endpoint, behaviour) }
        val slowRequests = List(SLOW_REQUESTS) { "slow $it" }.map { body ->
            body to CompletableFuture.supplyAsync { cluster.request(HOST, body, headers(body)) }
        }
        awaitTrue("all requests are in progress", SLOW_REQUEST_MILLIS) {
            endpoints.endpoints().sumOf { it.inFlight } == SLOW_REQUESTS
        }
        cluster.deployment.process(HOST).terminate()
        val refused = awaitRefusal(endpoints)
        assertEquals("shutting_down", refused.code)
        assertEquals("refused", refused.outcome)
        assertTrue(slowRequests.none { (_, answer) -> answer.isDone }, "the requests ended before the check")
        slowRequests.forEach { (body, answer) -> checkCompleted(answer.get(), body) }
        assertEquals(0, cluster.deployment.process(HOST).awaitExit(DRAIN_LIMIT_MILLIS))
    }

    /** Waits until health is 503, then sends a new request, which must get an answer and must not run. */
    private fun awaitRefusal(endpoints: StandInControl): HttpAnswer {
        val health = HttpCall("GET", cluster.plan.host(HOST).address, Paths.HEALTH)
        awaitTrue("health is 503", SLOW_REQUEST_MILLIS) { HttpCalls.send(health).status == UNAVAILABLE }
        val refused = checkNotNull(cluster.request(HOST, NEW_BODY)) { "the new request got no answer" }
        assertEquals(UNAVAILABLE, HttpCalls.send(health).status)
        assertEquals(0, endpoints.runCount(sha256Hex(NEW_BODY)))
        return refused
    }

    private fun headers(body: String): Map<String, String> =
        if (body.last().digitToInt() % 2 == 0) {
            emptyMap()
        } else {
            FaultCluster.nonRepeatableHeaders(
                FaultCluster.newIdempotencyKey(DOMAIN, body.replace(' ', '-')),
                true,
                TIMEOUT_MILLIS,
            )
        }

    private fun checkCompleted(answer: HttpAnswer?, body: String) {
        assertEquals("completed", answer.outcome, "$body: $answer")
        val echo = Codec.json.decodeFromString(EndpointAnswer.serializer(), answer?.body.orEmpty())
        assertEquals(sha256Hex(body), echo.bodySha256Hex)
    }

    private companion object {
        const val DOMAIN = "thies-a"
        const val HOST = "thies-a-1"
        const val NEW_BODY = "after the signal"
        const val SLOW_REQUESTS = 6
        const val SLOW_REQUEST_MILLIS = 5_000L
        const val TIMEOUT_MILLIS = 14_000L
        const val LEAVE_LIMIT_MILLIS = 3_000L
        const val OBSERVATION_MILLIS = 5_000L
        const val DRAIN_LIMIT_MILLIS = 30_000L
        const val UNAVAILABLE = 503
    }
}
