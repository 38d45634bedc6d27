package org.auburnlever.standin

import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.Server
import com.linecorp.armeria.server.ServerBuilder
import io.netty.channel.EventLoopGroup
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import org.auburnlever.codec.Codec
import java.net.InetAddress
import java.net.InetSocketAddress

/** HTTP server through which tests read the counters of a stand-in process and change its behaviour. */
internal class ControlServer(port: Int, eventLoops: EventLoopGroup, routes: ServerBuilder.() -> Unit) {
    private val server: Server = Server.builder()
        .http(InetSocketAddress(InetAddress.getLoopbackAddress(), port))
        .workerGroup(eventLoops, false)
        .apply(routes)
        .build()

    /** Port in use, once started. */
    val port: Int get() = server.activeLocalPort()

    /** Opens the port. */
    fun start() {
        server.start().join()
    }

    /** Begins to close the port without waiting for it. */
    fun stop() {
        server.stop()
    }
}

/** Answers with [value] as JSON. */
internal fun <T> jsonResponse(serializer: KSerializer<T>, value: T): HttpResponse =
    HttpResponse.of(HttpStatus.OK, MediaType.JSON, Codec.json.encodeToString(serializer, value))

/** Answers that no endpoint or worker has the name in the path. */
internal fun notFound(): HttpResponse = HttpResponse.of(HttpStatus.NOT_FOUND)

/** Answers that the change was accepted. */
internal fun noContent(): HttpResponse = HttpResponse.of(HttpStatus.NO_CONTENT)

/** Decodes the body and passes it to [change], which returns null if no endpoint or worker has the name. */
internal fun <T> applyJson(request: HttpRequest, serializer: KSerializer<T>, change: (T) -> Unit?): HttpResponse =
    HttpResponse.of(
        request.aggregate().thenApply { aggregated ->
            try {
                val value = Codec.json.decodeFromString(serializer, aggregated.contentUtf8())
                change(value)?.let { noContent() } ?: notFound()
            } catch (e: SerializationException) {
                HttpResponse.of(HttpStatus.BAD_REQUEST, MediaType.PLAIN_TEXT_UTF_8, e.message.orEmpty())
            }
        },
    )
