package org.auburnlever.ctl

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.Server
import java.net.InetSocketAddress
import java.util.concurrent.CopyOnWriteArrayList

/** A server on loopback that records requests and gives each the result of [answer]. */
internal class StubServer(private val answer: () -> HttpResponse) : AutoCloseable {
    val requests = CopyOnWriteArrayList<AggregatedHttpRequest>()

    private val server = Server.builder()
        .http(InetSocketAddress("127.0.0.1", 0))
        .serviceUnder("/", HttpService { _, request -> record(request) })
        .workerGroup(1)
        .gracefulShutdownTimeoutMillis(0, 0)
        .build()
        .also { it.start().join() }

    val address: String get() = "127.0.0.1:${server.activeLocalPort()}"

    /** Starts to stop the server and does not wait, since Netty's event loops take 2 s to end. */
    override fun close() {
        server.stop()
    }

    private fun record(request: HttpRequest): HttpResponse =
        HttpResponse.of(
            request.aggregate().thenApply {
                requests += it
                answer()
            },
        )
}

internal fun jsonAnswer(json: String, status: HttpStatus = HttpStatus.OK): HttpResponse =
    HttpResponse.of(status, MediaType.JSON, json)

internal fun errorAnswer(status: HttpStatus, code: String, outcome: String): HttpResponse {
    val headers = ResponseHeaders.builder(status).contentType(MediaType.JSON).add("auburn-outcome", outcome).build()
    val body = """{"code":"$code","message":"the reason","outcome":"$outcome"}"""
    return HttpResponse.of(headers, HttpData.ofUtf8(body))
}

/** Resets the stream after the request was received, like a host that crashes before it answers. */
internal fun lostAnswer(): HttpResponse = HttpResponse.streaming().apply { abort() }

/** An address on which nothing listens: port 1 of loopback, which unprivileged processes can't open. */
internal const val CLOSED_ADDRESS = "127.0.0.1:1"
