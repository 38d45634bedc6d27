package org.auburnlever.standin

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.future.await
import kotlinx.coroutines.launch
import kotlinx.serialization.SerializationException
import org.auburnlever.codec.Codec
import org.auburnlever.wire.Headers
import org.auburnlever.wire.Paths
import java.util.concurrent.TimeUnit

/**
 * Sends requests at a fixed rate, whether or not earlier ones were answered, and measures each from its planned time.
 *
 * Must run on one thread. A request that would exceed the maximum number of open requests is counted as `not sent`.
 */
internal class LoadRun(private val settings: LoadSettings, factory: ClientFactory) {
    private val recorder = LoadRecorder()
    private val clients = settings.targets.associateWith { target ->
        WebClient.builder("h1c://$target")
            .factory(factory)
            .responseTimeoutMillis(settings.timeoutMillis + RESPONSE_TIMEOUT_MARGIN_MILLIS)
            .maxResponseLength(MAX_ANSWER_BYTES)
            .build()
    }
    private var openRequests = 0

    /** Sends until all requests are sent or the time is over, and returns when those that were sent have ended. */
    suspend fun run(): LoadReport {
        val start = System.nanoTime()
        val deadline = start + TimeUnit.MILLISECONDS.toNanos(settings.maxMillis)
        coroutineScope {
            for (index in 0 until settings.requests) {
                val planned = start + settings.sendAtNanos(index)
                if (planned > deadline) break
                awaitNanos(planned)
                sendOrSkip(index, planned)
            }
        }
        val measuredFrom = start + settings.sendAtNanos(settings.warmUpRequests)
        return recorder.report((System.nanoTime() - measuredFrom) / NANOS_PER_SECOND)
    }

    private fun CoroutineScope.sendOrSkip(index: Int, plannedNanos: Long) {
        val request = settings.request(index, System.currentTimeMillis() / MILLIS_PER_SECOND)
        if (openRequests >= settings.maxOpen) {
            record(index, "not sent", request, latencyNanos = 0)
        } else {
            openRequests++
            launch {
                val outcomeLabel = outcomeLabelOf(send(request, index), request)
                record(index, outcomeLabel, request, System.nanoTime() - plannedNanos)
                openRequests--
            }
        }
    }

    private fun record(index: Int, outcomeLabel: String, request: LoadRequest, latencyNanos: Long) {
        if (index >= settings.warmUpRequests) recorder.add(outcomeLabel, request.urgent, latencyNanos)
    }

    private suspend fun awaitNanos(atNanos: Long) {
        val nanos = atNanos - System.nanoTime()
        // Rounds up, since a request that is sent before its planned time could have a negative latency.
        if (nanos > 0) delay((nanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI)
    }

    private suspend fun send(request: LoadRequest, index: Int): AggregatedHttpResponse? =
        clients.getValue(request.target)
            .execute(HttpRequest.of(headers(request, index), HttpData.wrap(request.body)))
            .aggregate()
            .handle { response, _ -> response }
            .await()

    private fun headers(request: LoadRequest, index: Int): RequestHeaders {
        val path = if (settings.direct) Paths.ENDPOINT_REQUESTS else "${Paths.SERVICES}/${settings.service}/requests"
        val headers = RequestHeaders.builder(HttpMethod.POST, path)
            .contentType(MediaType.OCTET_STREAM)
            .add(HttpHeaderNames.AUTHORIZATION, "Bearer ${request.token}")
            .add(Headers.TIMEOUT_MILLIS, settings.timeoutMillis.toString())
            .add(Headers.URGENT, request.urgent.toString())
            .add(Headers.REPEATABLE, (request.key == null).toString())
        request.key?.let { headers.add(Headers.IDEMPOTENCY_KEY, it) }
        if (settings.direct) headers.add(Headers.REQUEST_ID, "load-${settings.seed}-$index")
        return headers.build()
    }

    private companion object {
        const val RESPONSE_TIMEOUT_MARGIN_MILLIS = 2_000L
        const val MAX_ANSWER_BYTES = 16L * 1024 * 1024
        const val MILLIS_PER_SECOND = 1_000L
        const val NANOS_PER_SECOND = 1e9
        const val NANOS_PER_MILLI = 1_000_000L
    }
}

/** Returns the label under which a request is counted: its outcome, followed by the error code if there is one. */
internal fun outcomeLabelOf(response: AggregatedHttpResponse?, request: LoadRequest): String {
    val outcome = response?.headers()?.get(Headers.OUTCOME)
    val code = response?.headers()?.get(Headers.ERROR_CODE)
    return when {
        response == null -> "no answer"
        response.status() == HttpStatus.OK -> if (isAnswerTo(
                response,
                request
            )
        ) {
            LoadRecorder.COMPLETED
        } else {
            "wrong answer"
        }
        outcome == null -> "status ${response.status().code()}"
        else -> listOfNotNull(outcome, code).joinToString(" ")
    }
}

private fun isAnswerTo(response: AggregatedHttpResponse, request: LoadRequest): Boolean =
    try {
        val answer = Codec.json.decodeFromString(EndpointAnswer.serializer(), response.contentUtf8())
        answer.bodySha256Hex == sha256Hex(request.body)
    } catch (_: SerializationException) {
        false
    }
