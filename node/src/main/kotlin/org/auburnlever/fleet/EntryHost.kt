package org.auburnlever.fleet

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.auburnlever.host.HostClock
import org.auburnlever.peer.PeerMessage
import org.auburnlever.peer.PeerReply
import org.auburnlever.peer.PeerRequest
import org.auburnlever.transport.PeerHandler
import org.auburnlever.transport.PeerTransport
import org.auburnlever.transport.SharedKey
import org.auburnlever.world.HostName
import java.io.IOException
import java.util.concurrent.CompletableFuture

private val logger = KotlinLogging.logger {}

/** A host without state: passes clients' calls to the leader of the workload group. */
class EntryHost(private val settings: FleetSettings, registry: MeterRegistry) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val end = CompletableFuture<Result<Unit, String>>()
    private val self = FleetPeers.peer(settings.self, settings.peerPort)
    private val transport =
        PeerTransport(self, emptyList(), SharedKey(settings.sharedKey), RefusingPeerHandler, registry) {
            logger.error(it) { "the peer links failed" }
            end.complete(Err("the peer links failed"))
        }
    private val peers = FleetPeers(settings, transport)

    /** Asks the leader. */
    val client = FleetClient(transport, peers::members, local = null, HostClock())

    /** Whether a control host can be reached. */
    val isConnected: Boolean get() = transport.reachable().isNotEmpty()

    /** Links to the control hosts. */
    fun start(): Result<Unit, String> = try {
        runBlocking { transport.start() }
        settings.seedHosts.forEach(peers::dial)
        scope.launch {
            while (scope.isActive) {
                delay(REFRESH_INTERVAL_MILLIS)
                peers.refresh()
            }
        }
        logger.info { "entry host ${self.host} started" }
        Ok(Unit)
    } catch (e: IOException) {
        Err("can't start: ${e.message}")
    }

    /** Begins to dial [hosts], which new settings name. */
    fun dialHosts(hosts: List<HostName>) = hosts.forEach(peers::dial)

    /** Waits until the host has to stop; the error says why. */
    fun awaitEnd(): Result<Unit, String> = end.get()

    /** Closes the links; call it after the last client was answered. */
    fun shutdown() {
        scope.cancel()
        transport.close()
        end.complete(Ok(Unit))
    }

    private object RefusingPeerHandler : PeerHandler {
        override fun onConsensus(message: PeerMessage.Consensus) = Unit

        override fun onGossip(gossip: PeerMessage.Gossip) = Unit

        override suspend fun onCall(from: HostName, request: PeerRequest, timeoutMillis: Long): PeerReply =
            PeerReply.NotDone("an entry host answers no calls")
    }

    private companion object {
        /** New control hosts are found in this time; the old ones go on answering meanwhile. */
        const val REFRESH_INTERVAL_MILLIS = 2_000L
    }
}
