package org.auburnlever.standin

import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.ResponseHeaders
import org.auburnlever.codec.Codec
import org.auburnlever.wire.Headers
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals

class LoadTest {
    private val settings = LoadSettings(
        targets = listOf("127.0.0.1:1", "127.0.0.1:2"),
        direct = false,
        service = "tag",
        tokens = listOf("a", "b"),
        requests = 1_000,
        ratePerSecond = 200.0,
        maxMillis = 1_000,
        maxOpen = 10,
        urgentShare = 0.25,
        nonRepeatableShare = 0.5,
        timeoutMillis = 1_000,
        bodyBytes = 64,
        warmUpRequests = 0,
        seed = 7,
    )

    @Test
    fun `equal settings give equal requests, so that two runs can be compared`() {
        val plan = (0 until 1_000).map { settings.request(it, nowSeconds = 5) }
        val secondPlan = (0 until 1_000).map { settings.request(it, nowSeconds = 5) }
        assertEquals(plan.map { it.key to it.urgent }, secondPlan.map { it.key to it.urgent })
        plan.zip(secondPlan).forEach { (a, b) -> assertContentEquals(a.body, b.body) }
        assertEquals(1_000, plan.map { it.body.decodeToString() }.toSet().size)
    }

    @Test
    fun `shares of requests and rate are those of the settings`() {
        val plan = (0 until 1_000).map { settings.request(it, nowSeconds = 5) }
        assertEquals(0.25, plan.count { it.urgent } / 1_000.0, absoluteTolerance = 0.05)
        assertEquals(0.5, plan.count { it.key != null } / 1_000.0, absoluteTolerance = 0.05)
        assertEquals(5_000_000_000, settings.sendAtNanos(1_000))
    }

    @Test
    fun `an answer to another request does not count as completed`() {
        val request = settings.request(0, nowSeconds = 5)
        assertEquals("completed", outcomeLabelOf(answerTo(request.body), request))
        assertEquals("wrong answer", outcomeLabelOf(answerTo("other".encodeToByteArray()), request))
        assertEquals("no answer", outcomeLabelOf(null, request))
        val refused = ResponseHeaders.of(HttpStatus.SERVICE_UNAVAILABLE, Headers.OUTCOME, "refused")
            .toBuilder().add(Headers.ERROR_CODE, "overloaded").build()
        assertEquals("refused overloaded", outcomeLabelOf(AggregatedHttpResponse.of(refused), request))
    }

    @Test
    fun `percentiles include only completed requests and every request is counted once`() {
        val recorder = LoadRecorder()
        (1..100).forEach { recorder.add(LoadRecorder.COMPLETED, isUrgent = it <= 10, latencyNanos = it * 1_000_000L) }
        recorder.add("no answer", isUrgent = false, latencyNanos = 9_000_000_000)
        val report = recorder.report(seconds = 10.0)
        assertEquals(101, report.requests)
        assertEquals(10.0, report.goodputPerSecond)
        assertEquals(50.0, report.all.p50Millis, absoluteTolerance = 0.1)
        assertEquals(99.0, report.all.p99Millis, absoluteTolerance = 0.1)
        assertEquals(10, report.urgent.count)
    }

    private fun answerTo(body: ByteArray): AggregatedHttpResponse {
        val answer = EndpointAnswer("endpoint-0", "r", body.size, sha256Hex(body), run = 1)
        val json = Codec.json.encodeToString(EndpointAnswer.serializer(), answer)
        return AggregatedHttpResponse.of(ResponseHeaders.of(HttpStatus.OK), HttpData.ofUtf8(json))
    }
}
