package org.auburnlever.host

import com.linecorp.armeria.common.util.BlockingTaskExecutor
import com.linecorp.armeria.server.Server
import io.netty.channel.EventLoopGroup
import org.auburnlever.entry.RequestTracker
import org.auburnlever.settings.Settings
import java.net.InetSocketAddress

/** Builds the HTTP server of a host, which runs on [eventLoops]; [requests] tracks those that may have an effect. */
internal fun buildServer(
    settings: Settings,
    services: HostServices,
    eventLoops: EventLoopGroup,
    requests: RequestTracker,
): Server {
    val builder = Server.builder()
        .http(InetSocketAddress(settings.httpAddress, settings.httpPort))
        .workerGroup(eventLoops, false)
        .blockingTaskExecutor(BlockingTaskExecutor.builder().numThreads(BLOCKING_THREADS).build(), true)
        .maxNumConnections(settings.limits.maxHttpConnections)
        .requestTimeoutMillis(settings.limits.maxRequestTimeoutMillis + REQUEST_GRACE_MILLIS)
        .http2InitialConnectionWindowSize(HTTP2_WINDOW_BYTES)
    requests.installOn(builder)
    services.routes(requests::track).forEach { (route, service) -> builder.service(route, service) }
    return builder.build()
}

private const val BLOCKING_THREADS = 2
private const val HTTP2_WINDOW_BYTES = 262_144

/** Each request has its own timeout. The server's is longer, so that it only ends requests that exceed theirs. */
private const val REQUEST_GRACE_MILLIS = 5_000L
