package org.auburnlever.standin

import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.Server
import org.auburnlever.codec.Codec
import org.auburnlever.wire.AnnouncementReply
import org.auburnlever.wire.EndpointAnnouncement
import org.auburnlever.wire.HeartbeatReply
import org.auburnlever.wire.Paths
import org.auburnlever.wire.TaskOrder
import org.auburnlever.wire.WorkerHeartbeat
import java.net.InetSocketAddress
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicReference
import kotlin.test.fail

/** Entry host for tests: records what stand-ins send and answers heartbeats with the orders that [orders] returns. */
internal class FakeEntryHost : AutoCloseable {
    val announcements = LinkedBlockingQueue<EndpointAnnouncement>()
    val heartbeats = LinkedBlockingQueue<WorkerHeartbeat>()
    val orders = AtomicReference<(WorkerHeartbeat) -> List<TaskOrder>> { emptyList() }

    private val server = Server.builder()
        .http(InetSocketAddress(LOOPBACK, 0))
        .service(Paths.ENDPOINT_ANNOUNCE) { _, request -> request.respond(::handleAnnouncement) }
        .service(Paths.WORKER_HEARTBEAT) { _, request -> request.respond(::handleHeartbeat) }
        .build()
        .also { it.start().join() }

    val address: String get() = "$LOOPBACK:${server.activeLocalPort()}"

    /** Waits for the next message in [queue] that [matches], and drops those before it. */
    fun <T> await(queue: LinkedBlockingQueue<T>, matches: (T) -> Boolean): T {
        repeat(MAX_MESSAGES) {
            val next = queue.poll(WAIT_SECONDS, TimeUnit.SECONDS) ?: fail("no message was sent for $WAIT_SECONDS s")
            if (matches(next)) return next
        }
        fail("none of $MAX_MESSAGES messages matched")
    }

    override fun close() {
        server.stop().join()
    }

    private fun handleAnnouncement(json: String): String {
        announcements += Codec.json.decodeFromString(EndpointAnnouncement.serializer(), json)
        return Codec.json.encodeToString(AnnouncementReply.serializer(), AnnouncementReply(1_000))
    }

    private fun handleHeartbeat(json: String): String {
        val heartbeat = Codec.json.decodeFromString(WorkerHeartbeat.serializer(), json)
        heartbeats += heartbeat
        val reply = HeartbeatReply(leaseMillis = 10_000, orders = orders.get()(heartbeat))
        return Codec.json.encodeToString(HeartbeatReply.serializer(), reply)
    }

    private fun HttpRequest.respond(reply: (String) -> String): HttpResponse =
        HttpResponse.of(
            aggregate().thenApply { HttpResponse.of(HttpStatus.OK, MediaType.JSON, reply(it.contentUtf8())) },
        )

    private companion object {
        const val WAIT_SECONDS = 10L
        const val MAX_MESSAGES = 100
    }
}
