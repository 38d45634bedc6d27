package org.auburnlever.standin

import com.linecorp.armeria.server.Server
import io.netty.channel.EventLoopGroup
import kotlinx.serialization.Serializable
import org.auburnlever.codec.Codec
import org.auburnlever.model.DomainName
import org.auburnlever.model.EndpointName
import org.auburnlever.model.ServiceName
import org.auburnlever.wire.EndpointAnnouncement
import org.auburnlever.wire.Paths
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.concurrent.atomic.AtomicLong

/** Identity, capacity and initial behaviour of a stand-in endpoint. */
internal data class EndpointSettings(
    val name: String,
    val service: String,
    val failureDomain: String,
    val slots: Int,
    val connections: Int,
    val behaviour: EndpointBehaviour,
)

/** State of a stand-in endpoint, as its control server returns it. */
@Serializable
data class EndpointView(
    val endpoint: String,
    val service: String,
    val address: String,
    val behaviour: EndpointBehaviour,
    val leavingSinceMillis: Long?,
    val received: Long,
    val ran: Long,
    val inFlight: Int,
    val maxInFlight: Int,
    val overSlots: Int,
    val lastArrivalMillis: Long,
    val announced: Long,
)

/** One endpoint of a stand-in process: it serves requests on a port of its own and announces itself. */
internal class StandInEndpoint(
    private val settings: EndpointSettings,
    runs: RunCounts,
    private val client: EntryClient,
    eventLoops: EventLoopGroup,
) {
    /** Serves the requests and holds their counters. */
    val requestService = EndpointService(settings.name, settings.slots, runs, settings.behaviour)

    private val server = Server.builder()
        .http(InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
        .workerGroup(eventLoops, false)
        .maxNumConnections(settings.connections)
        .service(Paths.ENDPOINT_REQUESTS, requestService)
        .build()
    private val epochMillis = System.currentTimeMillis()
    private val sequence = AtomicLong()
    private val announced = AtomicLong()
    private val leavingSinceMillis = AtomicLong()

    /** Opens the port. */
    fun start() {
        server.start().join()
    }

    /** Marks all further announcements as leaving. */
    fun leave() {
        leavingSinceMillis.compareAndSet(0, System.currentTimeMillis())
    }

    /** Sends one announcement to the first entry host that accepts it. */
    suspend fun announce() {
        val json = Codec.json.encodeToString(EndpointAnnouncement.serializer(), announcement())
        if (client.postToAny(Paths.ENDPOINT_ANNOUNCE, json) != null) announced.incrementAndGet()
    }

    /** Begins to close the port without waiting for it. */
    fun stop() {
        server.stop()
    }

    /** Returns the current state. */
    fun view() = EndpointView(
        endpoint = settings.name,
        service = settings.service,
        address = address(),
        behaviour = requestService.behaviour.get(),
        leavingSinceMillis = leavingSinceMillis.get().takeIf { it > 0 },
        received = requestService.received.get(),
        ran = requestService.ran.get(),
        inFlight = requestService.inFlight.get(),
        maxInFlight = requestService.maxInFlight.get(),
        overSlots = requestService.overSlots.get(),
        lastArrivalMillis = requestService.lastArrivalMillis.get(),
        announced = announced.get(),
    )

    private fun address(): String = "$LOOPBACK:${server.activeLocalPort()}"

    private fun announcement() = EndpointAnnouncement(
        endpoint = EndpointName(settings.name),
        service = ServiceName(settings.service),
        failureDomain = DomainName(settings.failureDomain),
        address = address(),
        slots = settings.slots,
        connections = settings.connections,
        epochMillis = epochMillis,
        sequence = sequence.incrementAndGet(),
        leaving = leavingSinceMillis.get() > 0,
    )
}

/** The address that stand-ins listen on. */
internal const val LOOPBACK = "127.0.0.1"
