package org.auburnlever.entry

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.RequestOptions
import com.linecorp.armeria.client.ResponseTimeoutException
import com.linecorp.armeria.client.UnprocessedRequestException
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.ContentTooLargeException
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.common.ResponseHeaders
import io.netty.channel.EventLoopGroup
import kotlinx.coroutines.future.await
import org.auburnlever.codec.Bytes
import org.auburnlever.routing.SlotGrant
import org.auburnlever.wire.Answer
import org.auburnlever.wire.Headers
import org.auburnlever.wire.Paths
import java.net.ConnectException
import java.net.NoRouteToHostException

/**
 * Sends requests to endpoints over HTTP/1.1, on the event loops of [workers].
 *
 * Each request has a connection of its own while it runs, so closing a connection after a timeout or after an answer
 * to another request affects no other request. A request that is not repeatable gets a new connection, because an idle
 * connection may no longer carry data, which would needlessly leave the outcome unknown.
 */
class HttpEndpointClient(workers: EventLoopGroup) : EndpointClient, AutoCloseable {
    private val connections = OpenConnections()
    private val keepAliveFactory = clientFactory(workers, connections)
    private val singleUseFactory = clientFactory(workers, connections)
    private val keepAliveClient = webClient(keepAliveFactory)
    private val singleUseClient = webClient(singleUseFactory)

    override suspend fun send(grant: SlotGrant, attempt: EndpointAttempt): AttemptResult =
        if (connections.count(grant.address) > grant.openConnectionLimit) {
            AttemptResult.NotBegun("this host's share of the endpoint's connections is in use")
        } else {
            exchange(grant.address, attempt)
        }

    private suspend fun exchange(address: String, attempt: EndpointAttempt): AttemptResult {
        val options = RequestOptions.builder()
            .responseTimeoutMillis(attempt.timeoutMillis.coerceAtLeast(1))
            .writeTimeoutMillis(attempt.timeoutMillis.coerceAtLeast(1))
            .maxResponseLength(MAX_ANSWER_BYTES)
            .build()
        val client = if (attempt.repeatable) keepAliveClient else singleUseClient
        return client.execute(attempt.toHttpRequest(address), options)
            .mapHeaders { it.validated(attempt) }
            .aggregate()
            .handle { answer, failure -> if (failure == null) answer.toResult() else failure.unwrapped().toResult() }
            .await()
    }

    override fun close() {
        keepAliveFactory.close()
        singleUseFactory.close()
    }

    private companion object {
        fun clientFactory(workers: EventLoopGroup, connections: OpenConnections): ClientFactory =
            ClientFactory.builder()
                .workerGroup(workers, false)
                .maxNumEventLoopsPerEndpoint(1)
                .maxNumEventLoopsPerHttp1Endpoint(1)
                .useHttp1Pipelining(false)
                .connectTimeoutMillis(CONNECT_TIMEOUT_MILLIS)
                .idleTimeoutMillis(IDLE_TIMEOUT_MILLIS)
                .connectionPoolListener(connections)
                .build()

        fun webClient(factory: ClientFactory): WebClient = WebClient.builder().factory(factory).build()
    }
}

private fun EndpointAttempt.toHttpRequest(address: String): HttpRequest {
    val headers = RequestHeaders.builder(HttpMethod.POST, "h1c://$address${Paths.ENDPOINT_REQUESTS}")
        .set(HttpHeaderNames.CONTENT_TYPE, contentType)
        .set(Headers.REQUEST_ID, attemptId)
        .set(Headers.ACCOUNT, account.value)
        .setLong(Headers.TIMEOUT_MILLIS, timeoutMillis)
    if (!repeatable) headers.set(HttpHeaderNames.CONNECTION, "close")
    return HttpRequest.of(headers.build(), HttpData.wrap(body.toByteArray()))
}

/**
 * Throws, which closes the connection, if the answer belongs to another attempt or has no content-length. Returns the
 * headers otherwise.
 */
private fun ResponseHeaders.validated(attempt: EndpointAttempt): ResponseHeaders {
    val echoed = get(Headers.REQUEST_ID)
    if (echoed != attempt.attemptId) {
        throw UnusableAnswerException(BrokenReason.CROSSED, "answer has request id $echoed, not ${attempt.attemptId}")
    }
    if (contentLength() < 0 && status() != HttpStatus.NO_CONTENT) {
        throw UnusableAnswerException(BrokenReason.INCOMPLETE, "answer has no content-length")
    }
    return this
}

private fun AggregatedHttpResponse.toResult(): AttemptResult {
    val announced = headers().contentLength().coerceAtLeast(0)
    return when {
        content().length().toLong() != announced ->
            AttemptResult.Broken(BrokenReason.INCOMPLETE, "answer has ${content().length()} of $announced bytes")
        status().isSuccess -> AttemptResult.Answered(toAnswer())
        headers().get(Headers.NOT_RUN) == "true" ->
            AttemptResult.NotBegun("the endpoint did not run the request: ${status()}")
        else -> AttemptResult.Error(status().code(), "the endpoint answered ${status()}")
    }
}

private fun AggregatedHttpResponse.toAnswer(): Answer {
    val bytes = content().array()
    return Answer(contentTypeOrBinary(), bytes.size, sha256Hex(bytes), Bytes(bytes))
}

private fun AggregatedHttpResponse.contentTypeOrBinary(): String =
    try {
        headers().get(HttpHeaderNames.CONTENT_TYPE)?.let { MediaType.parse(it).toString() }
    } catch (_: IllegalArgumentException) {
        null
    } ?: MediaType.OCTET_STREAM.toString()

private fun Throwable.toResult(): AttemptResult =
    when (this) {
        is UnusableAnswerException -> AttemptResult.Broken(reason, text)
        is ResponseTimeoutException -> AttemptResult.TimedOut("no answer before the timeout")
        is ContentTooLargeException ->
            AttemptResult.Broken(BrokenReason.TOO_LONG, "answer is longer than $MAX_ANSWER_BYTES bytes")
        is UnprocessedRequestException -> unprocessed()
        else -> AttemptResult.Broken(BrokenReason.CONNECTION, toString())
    }

/** Only a failed attempt to connect proves that the endpoint received no byte of the request. */
private fun UnprocessedRequestException.unprocessed(): AttemptResult =
    when (cause) {
        is ConnectException, is NoRouteToHostException -> AttemptResult.NotBegun("connection failed: ${cause.message}")
        else -> AttemptResult.Broken(BrokenReason.CONNECTION, cause.toString())
    }

private class UnusableAnswerException(val reason: BrokenReason, val text: String) : RuntimeException(text)

/** Much more than three round trips between regions; a host that takes longer to accept is not healthy. */
private const val CONNECT_TIMEOUT_MILLIS = 1_000L

/** Short, because a connection that broke while idle costs the next request its whole timeout. */
private const val IDLE_TIMEOUT_MILLIS = 2_000L

/** Keeps an answer within a message frame between hosts (1 MiB), and several answers within the heap of 40 MB. */
private const val MAX_ANSWER_BYTES = 1_000_000L
