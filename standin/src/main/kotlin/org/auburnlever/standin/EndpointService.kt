package org.auburnlever.standin

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.ClosedSessionException
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.AbstractHttpService
import com.linecorp.armeria.server.ServiceRequestContext
import org.auburnlever.wire.Headers
import java.time.Duration
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference

/** Answers the requests to one stand-in endpoint according to its behaviour, and counts them. */
internal class EndpointService(
    private val name: String,
    private val slots: Int,
    private val runs: RunCounts,
    behaviour: EndpointBehaviour,
) : AbstractHttpService() {
    /** Behaviour that applies to requests from now on. */
    val behaviour = AtomicReference(behaviour)

    /** Number of requests that are being served now. */
    val inFlight = AtomicInteger()

    /** Highest number of requests that were served at the same time. */
    val maxInFlight = AtomicInteger()

    /** Number of requests that arrived while all slots were in use. */
    val overSlots = AtomicInteger()

    /** Number of requests that ran. */
    val ran = AtomicLong()

    /** Number of requests that arrived. */
    val received = AtomicLong()

    /** Wall-clock time at which the last request arrived, 0 before the first. */
    val lastArrivalMillis = AtomicLong()

    override fun doPost(ctx: ServiceRequestContext, req: HttpRequest): HttpResponse {
        ctx.clearRequestTimeout()
        received.incrementAndGet()
        lastArrivalMillis.set(System.currentTimeMillis())
        val concurrent = inFlight.incrementAndGet()
        maxInFlight.accumulateAndGet(concurrent, ::maxOf)
        if (concurrent > slots) overSlots.incrementAndGet()
        ctx.log().whenComplete().thenRun { inFlight.decrementAndGet() }
        return HttpResponse.of(req.aggregate().thenApply { handle(it, concurrent) })
    }

    private fun handle(request: AggregatedHttpRequest, concurrent: Int): HttpResponse {
        val current = behaviour.get()
        val endpointRequest = request.toEndpointRequest()
        return if (current.shouldRun(concurrent, slots)) {
            runRequest(current, request, endpointRequest)
        } else {
            notRun(endpointRequest).toHttpResponse()
        }
    }

    private fun runRequest(
        current: EndpointBehaviour,
        request: AggregatedHttpRequest,
        endpointRequest: EndpointRequest,
    ): HttpResponse {
        ran.incrementAndGet()
        val run = runs.add(request.identifiers(endpointRequest))
        val response = current.reaction(endpointRequest, run).toHttpResponse()
        if (current.delayMillis == 0L) return response
        return HttpResponse.delayed(response, Duration.ofMillis(current.delayMillis))
    }

    private fun AggregatedHttpRequest.toEndpointRequest() = EndpointRequest(
        endpoint = name,
        requestId = headers().get(Headers.REQUEST_ID).orEmpty(),
        bodyBytes = content().length(),
        bodySha256Hex = sha256Hex(content().array()),
    )

    private fun AggregatedHttpRequest.identifiers(endpointRequest: EndpointRequest): List<String> =
        listOfNotNull(
            headers().get(Headers.IDEMPOTENCY_KEY),
            endpointRequest.requestId,
            endpointRequest.bodySha256Hex,
        ).distinct()
}

private fun EndpointReaction.toHttpResponse(): HttpResponse =
    when (this) {
        is EndpointReaction.Answer -> answerResponse(this)
        is EndpointReaction.Error -> errorResponse(this)
        EndpointReaction.Silence -> HttpResponse.streaming()
    }

private fun answerResponse(answer: EndpointReaction.Answer): HttpResponse {
    val body = HttpData.ofUtf8(answer.json)
    val headers = ResponseHeaders.builder(HttpStatus.OK)
        .contentType(MediaType.JSON)
        .contentLength(body.length().toLong())
        .add(Headers.REQUEST_ID, answer.requestId)
        .build()
    if (answer.complete) return HttpResponse.of(headers, body)
    val response = HttpResponse.streaming()
    response.write(headers)
    response.write(HttpData.wrap(body.array(), 0, body.length() / 2))
    response.whenConsumed().thenRun { response.close(ClosedSessionException.get()) }
    return response
}

private fun errorResponse(error: EndpointReaction.Error): HttpResponse {
    val headers = ResponseHeaders.builder(HttpStatus.valueOf(error.status))
        .contentType(MediaType.PLAIN_TEXT_UTF_8)
        .add(Headers.REQUEST_ID, error.requestId)
    if (error.notRun) headers.add(Headers.NOT_RUN, "true")
    return HttpResponse.of(headers.build(), HttpData.ofUtf8(if (error.notRun) "not run" else "endpoint is set to fail"))
}
