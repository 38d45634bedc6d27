package org.auburnlever.ctl

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.UnprocessedRequestException
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import org.auburnlever.wire.Headers
import java.util.concurrent.CompletionException

/** A request to the HTTP interface; [keyIsNew] means that its key was never sent before this request. */
class ServerRequest(
    val method: HttpMethod,
    val path: String,
    val body: ByteArray = ByteArray(0),
    val contentType: MediaType = MediaType.JSON,
    val headers: Map<String, String> = emptyMap(),
    val keyIsNew: Boolean = false,
)

/**
 * Sends requests to [servers] in their order until one takes the request; each has [timeoutMillis] to answer.
 *
 * Resending a request is safe: changes are identified by the digest of a bundle, a job id or the idempotency key.
 */
class ServerClient(
    private val servers: List<String>,
    private val token: String?,
    private val timeoutMillis: Long,
) : AutoCloseable {
    private val factory = ClientFactory.builder()
        .workerGroup(1)
        .connectTimeoutMillis(minOf(timeoutMillis, MAX_CONNECT_TIMEOUT_MILLIS))
        .build()

    /** Returns the first answer of a server that took the request, else the last answer. */
    fun send(request: ServerRequest): ServerAnswer {
        val failures = mutableListOf<ServerAnswer.None>()
        var unavailable: ServerAnswer.Answered? = null
        for (server in servers) {
            when (val answer = attempt(server, request, failures.any { it.maybeSent })) {
                is ServerAnswer.None -> failures += answer
                is ServerAnswer.Answered -> if (answer.isUnavailable) unavailable = answer else return answer
            }
        }
        val maybeSent = failures.any { it.maybeSent }
        return unavailable?.takeIf { it.earlierAttemptLost == maybeSent }
            ?: ServerAnswer.None(failures.joinToString("; ") { it.message }, maybeSent)
    }

    /** Starts closing connections without waiting, since Netty's event loops would delay each command by 2 s. */
    override fun close() {
        factory.closeAsync()
    }

    private fun attempt(server: String, request: ServerRequest, earlierAttemptLost: Boolean): ServerAnswer =
        try {
            val response = client(server).execute(toHttp(request, earlierAttemptLost)).aggregate().join()
            toAnswer(server, response, earlierAttemptLost)
        } catch (e: CompletionException) {
            noAnswer(server, e.cause ?: e)
        }

    private fun noAnswer(server: String, failure: Throwable): ServerAnswer.None {
        // An UnprocessedRequestException only wraps the reason why there is no connection.
        val reason = failure.cause ?: failure
        val text = reason.message ?: reason.javaClass.simpleName
        val maybeSent = failure !is UnprocessedRequestException
        return ServerAnswer.None("$server: $text (limit $timeoutMillis ms)", maybeSent)
    }

    private fun toAnswer(server: String, response: AggregatedHttpResponse, earlierAttemptLost: Boolean) =
        ServerAnswer.Answered(
            server = server,
            status = response.status(),
            outcome = response.headers().get(Headers.OUTCOME),
            body = response.content().array(),
            earlierAttemptLost = earlierAttemptLost,
        )

    private fun client(server: String): WebClient =
        WebClient.builder(if ("://" in server) server else "http://$server")
            .factory(factory)
            .responseTimeoutMillis(timeoutMillis)
            .maxResponseLength(MAX_RESPONSE_BYTES)
            .build()

    private fun toHttp(request: ServerRequest, earlierAttemptLost: Boolean): HttpRequest {
        val headers = RequestHeaders.builder(request.method, request.path)
        if (request.body.isNotEmpty()) headers.contentType(request.contentType)
        token?.let { headers.add("authorization", "Bearer $it") }
        if (request.keyIsNew && !earlierAttemptLost) headers.add(Headers.FIRST_ATTEMPT, "true")
        request.headers.forEach { (name, value) -> headers.add(name, value) }
        return HttpRequest.of(headers.build(), HttpData.wrap(request.body))
    }

    private companion object {
        const val MAX_CONNECT_TIMEOUT_MILLIS = 3_000L

        /** Larger than the dump of a host with all tasks of a failure domain. */
        const val MAX_RESPONSE_BYTES = 64L * 1_024 * 1_024
    }
}
