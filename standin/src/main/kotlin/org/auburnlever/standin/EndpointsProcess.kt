package org.auburnlever.standin

import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.util.EventLoopGroups
import com.linecorp.armeria.server.ServerBuilder
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.builtins.MapSerializer
import kotlinx.serialization.builtins.serializer

/** Runs several stand-in endpoints in one process, with one control server and one set of run counts for all. */
internal class EndpointsProcess(
    settings: List<EndpointSettings>,
    entryAddresses: List<String>,
    token: String,
    private val lingerMillis: Long,
    controlPort: Int,
) {
    private val log = KotlinLogging.logger {}
    private val eventLoops = EventLoopGroups.newEventLoopGroup(1)
    private val clientFactory = createClientFactory()
    private val runs = RunCounts()
    private val endpoints = settings.associate {
        it.name to StandInEndpoint(
            it,
            runs,
            EntryClient(entryAddresses, token, clientFactory, ANNOUNCE_TIMEOUT_MILLIS),
            eventLoops,
        )
    }
    private val control = ControlServer(controlPort, eventLoops) { routes() }
    private val scope = CoroutineScope(Dispatchers.Default.limitedParallelism(1) + Job())

    /** Port of the control server. */
    val controlPort: Int get() = control.port

    /** Opens all ports and begins to announce the endpoints. */
    fun start() {
        endpoints.values.forEach { it.start() }
        control.start()
        endpoints.values.forEach { endpoint ->
            scope.launch {
                while (isActive) {
                    endpoint.announce()
                    delay(ANNOUNCE_INTERVAL_MILLIS)
                }
            }
        }
        log.info { "started ${endpoints.size} stand-in endpoints; control port ${control.port}" }
    }

    /**
     * Announces that the endpoints leave, waits until no entry host sends new requests and those in progress are done,
     * and closes.
     *
     * Entry hosts may send new requests for up to 3 s after the announcement, so the ports stay open for that long.
     */
    fun shutDown() = runBlocking {
        log.info { "announcing that the endpoints leave" }
        endpoints.values.forEach { it.leave() }
        endpoints.values.forEach { it.announce() }
        delay(lingerMillis)
        val idle = withTimeoutOrNull(DRAIN_TIMEOUT_MILLIS) { awaitIdle() }
        if (idle == null) log.warn { "closing with requests in progress: not done within $DRAIN_TIMEOUT_MILLIS ms" }
        close()
        log.info { "stopped" }
    }

    /** Closes all ports without waiting for requests. */
    fun close() {
        scope.cancel()
        endpoints.values.forEach { it.stop() }
        control.stop()
        clientFactory.closeAsync()
        eventLoops.shutdownGracefully()
    }

    private suspend fun awaitIdle() {
        while (endpoints.values.any { it.requestService.inFlight.get() > 0 }) delay(IDLE_POLL_MILLIS)
    }

    private fun ServerBuilder.routes() {
        service("/control/endpoints") { _, _ ->
            jsonResponse(ListSerializer(EndpointView.serializer()), endpoints.values.map { it.view() })
        }
        service("/control/endpoints/{name}") { ctx, _ ->
            endpoints[ctx.pathParam("name")]?.let { jsonResponse(EndpointView.serializer(), it.view()) } ?: notFound()
        }
        route().put("/control/endpoints/{name}/behaviour").build { ctx, req ->
            val endpoint = endpoints[ctx.pathParam("name")]
            applyJson(req, EndpointBehaviour.serializer()) { endpoint?.requestService?.behaviour?.set(it) }
        }
        route().methods(HttpMethod.POST).path("/control/endpoints/{name}/leave").build { ctx, _ ->
            endpoints[ctx.pathParam("name")]?.leave()?.let { noContent() } ?: notFound()
        }
        service("/control/runs") { _, _ ->
            jsonResponse(MapSerializer(String.serializer(), Int.serializer()), runs.all())
        }
        service("/control/runs/{name}") { ctx, _ ->
            jsonResponse(Int.serializer(), runs.of(ctx.pathParam("name").orEmpty()))
        }
    }

    private companion object {
        const val ANNOUNCE_INTERVAL_MILLIS = 1_000L
        const val ANNOUNCE_TIMEOUT_MILLIS = 800L
        const val DRAIN_TIMEOUT_MILLIS = 30_000L
        const val IDLE_POLL_MILLIS = 20L
    }
}
