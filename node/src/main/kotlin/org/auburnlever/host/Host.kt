package org.auburnlever.host

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import com.linecorp.armeria.common.util.EventLoopGroups
import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import org.auburnlever.consensus.ReplicaId
import org.auburnlever.consensus.ReplicaMessage
import org.auburnlever.entry.ShutdownSchedule
import org.auburnlever.observe.ProcessMetrics
import org.auburnlever.observe.Readiness
import org.auburnlever.peer.GroupName
import org.auburnlever.peer.PeerMessage
import org.auburnlever.settings.Settings
import org.auburnlever.transport.PeerTransport
import org.auburnlever.transport.SharedKey
import java.io.IOException
import java.nio.file.Files
import java.util.concurrent.CompletableFuture

private val logger = KotlinLogging.logger {}

/**
 * One host of the system: its replicas, links, routing and HTTP services.
 *
 * ```
 * val host = Host(settings, sharedKey)
 * host.start()
 * host.awaitEnd()
 * ```
 */
class Host(private val settings: Settings, sharedKey: ByteArray) {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val clock = HostClock()
    private val eventLoops = EventLoopGroups.newEventLoopGroup(settings.limits.ioThreads, "http", true)
    private val exceptionHandler =
        CoroutineExceptionHandler { _, exception -> groupContext.fail("a coroutine of the host failed", exception) }
    private val scope = CoroutineScope(SupervisorJob() + eventLoops.next().asCoroutineDispatcher() + exceptionHandler)
    private val end = CompletableFuture<Result<Unit, String>>()
    private val groupContext = HostGroupContext()
    private val peerHandler = HostPeerHandler()
    private val transport = PeerTransport(
        settings.self,
        settings.others,
        SharedKey(sharedKey),
        peerHandler,
        registry,
    ) { groupContext.fail("the transport of the peer links failed", it) }
    private val activeBundle = ActiveBundle(settings.dataFolder?.resolve("bundle.json"))
    private val groups =
        HostGroups(settings, groupContext, clock, activeBundle, LedgerMetrics(registry)::record)
    private lateinit var components: HostComponents

    @Volatile
    private var draining = false

    /** Opens the logs, connects to the other hosts and starts the HTTP server. */
    fun start(): Result<Unit, String> {
        ProcessMetrics().bindTo(registry)
        return try {
            settings.dataFolder?.let { Files.createDirectories(it) }
            val failure = groups.start().getError()
            if (failure == null) startServing() else failStart(failure)
        } catch (e: IOException) {
            failStart("host can't start: ${e.message}")
        }
    }

    /** Waits until the host is shut down or fails; the error is the reason of the failure. */
    fun awaitEnd(): Result<Unit, String> = end.get()

    /**
     * Refuses new requests, waits for those in progress up to the limit of the settings, and stops. Returns false and
     * does nothing if the host has ended or is being shut down already.
     */
    fun shutdown(): Boolean {
        if (end.isDone || draining) return false
        draining = true
        if (::components.isInitialized) stopServing()
        stopComponents()
        logger.info { "host ${settings.self.host} stopped" }
        return end.complete(Ok(Unit))
    }

    private fun stopServing() {
        logger.info { "shutting down; requests in progress get ${settings.limits.shutdownLimitMillis} ms to end" }
        val startMillis = clock.nowMillis()
        components.tracker.beginShutdown()
        val left = runBlocking { components.requests.drain(settings.limits.shutdownLimitMillis) }
        if (left > 0) logger.warn { "$left requests were still in progress at the shutdown limit" }
        components.tracker.drain(schedule(startMillis), clock::nowMillis) { Thread.sleep(SHUTDOWN_CHECK_MILLIS) }
        groups.transferLeadership()
        components.server.stop().join()
    }

    /** Returns the phases after the service requests have ended, in which jobs and orders in progress end. */
    private fun schedule(startMillis: Long): ShutdownSchedule {
        val nowMillis = clock.nowMillis()
        val endAtMillis = maxOf(nowMillis, startMillis + settings.limits.shutdownLimitMillis)
        return ShutdownSchedule(nowMillis, endAtMillis, endAtMillis + FLUSH_MILLIS)
    }

    private fun startServing(): Result<Unit, String> {
        val resources = HostResources(settings, registry, clock, eventLoops, scope, transport, groups, activeBundle)
        components = HostComponents(resources, ::readiness)
        peerHandler.start(components.peerComponents)
        runBlocking { transport.start() }
        components.maintenance.start()
        components.server.start().join()
        logger.info { "host ${settings.self.host} listens on ${settings.httpAddress}:${settings.httpPort}" }
        return Ok(Unit)
    }

    private fun failStart(message: String): Result<Unit, String> = Err(message).also { end.complete(it) }

    private fun readiness(): Readiness = when {
        draining -> Readiness.ShuttingDown
        activeBundle.bundle == null -> Readiness.Starting("no bundle is in force yet")
        else -> Readiness.Ready
    }

    private fun stopComponents() {
        scope.cancel()
        groups.stop()
        transport.close()
        eventLoops.shutdownGracefully()
    }

    private companion object {
        const val SHUTDOWN_CHECK_MILLIS = 20L

        /** Time to write the responses to requests that are ended at the shutdown limit. */
        const val FLUSH_MILLIS = 500L
    }

    private inner class HostGroupContext : GroupContext {
        override fun send(group: GroupName, from: ReplicaId, to: ReplicaId, message: ReplicaMessage) =
            transport.send(to.host, PeerMessage.Consensus(group, from, to, message))

        override fun fail(message: String, cause: Throwable?) {
            logger.error(cause) { message }
            end.complete(Err(message))
        }
    }
}
