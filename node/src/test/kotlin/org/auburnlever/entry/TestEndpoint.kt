package org.auburnlever.entry

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.Server
import org.auburnlever.wire.Headers
import org.auburnlever.wire.Paths
import java.util.concurrent.ConcurrentLinkedQueue

/** An endpoint that responds with [answer]; [received] contains the bodies of all requests. */
internal class TestEndpoint(
    private val answer: TestEndpoint.(AggregatedHttpRequest) -> HttpResponse = { it.tagged() },
) : AutoCloseable {
    val received = ConcurrentLinkedQueue<String>()
    private val server = Server.builder()
        .http(0)
        .requestTimeoutMillis(0)
        .service(Paths.ENDPOINT_REQUESTS) { _, request -> HttpResponse.of(request.aggregate().thenApply(::receive)) }
        .build()
        .apply { start().join() }
    val port: Int get() = server.activeLocalPort()

    override fun close() {
        server.stop()
    }

    private fun receive(request: AggregatedHttpRequest): HttpResponse {
        received.add(request.contentUtf8())
        return answer(request)
    }
}

/** Returns a complete answer to this request. */
internal fun AggregatedHttpRequest.tagged(status: HttpStatus = HttpStatus.OK, notRun: Boolean = false): HttpResponse {
    val head = ResponseHeaders.builder(status)
        .contentType(MediaType.PLAIN_TEXT_UTF_8)
        .add(Headers.REQUEST_ID, headers().get(Headers.REQUEST_ID).orEmpty())
    if (notRun) head.add(Headers.NOT_RUN, "true")
    return HttpResponse.of(head.build(), HttpData.ofUtf8("tagged ${contentUtf8()}"))
}
