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
import org.auburnlever.model.HostName
import org.auburnlever.peer.PeerMessage
import org.auburnlever.peer.PeerReply
import org.auburnlever.peer.PeerRequest
import org.auburnlever.transport.PeerHandler
import org.auburnlever.transport.PeerTransport
import org.auburnlever.transport.SharedKey
import org.auburnlever.workload.SchedulingFeature
import java.io.IOException
import java.util.concurrent.CompletableFuture

private val logger = KotlinLogging.logger {}

/** An entry host, which has no state and passes clients' calls to the leader of the workload group. */
class EntryHost(private val settings: FleetSettings, registry: MeterRegistry) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val end = CompletableFuture<Result<Unit, String>>()
    private val self = FleetPeers.peer(settings.self, settings.peerPort)
    private val transport =
        PeerTransport(self, emptyList(), SharedKey(settings.sharedKey), RefusingPeerHandler, registry) {
            logger.error(it) { "the transport of the peer links failed" }
            end.complete(Err("the transport of the peer links failed"))
        }
    private val peers = FleetPeers(settings, transport)

    private val clock = HostClock()
    private val decidesAdmission = SchedulingFeature.LEADERLESS_ADMISSION in settings.features
    private val admission = if (decidesAdmission) {
        val watch = LeaderWatch(transport, transport, peers::members, clock, registry)
        LeaderlessAdmission(watch, peers::queues, clock, registry)
    } else {
        null
    }

    /** Calls the leader of the workload group. */
    val client = FleetClient(transport, peers::members, local = null, clock, FleetCallLog(registry), admission)

    /** Whether this host can reach a control host. */
    val isConnected: Boolean get() = transport.reachable().isNotEmpty()

    /** Connects to the control hosts. */
    fun start(): Result<Unit, String> = try {
        runBlocking { transport.start() }
        settings.seedHosts.forEach(peers::dial)
        scope.launch {
            var queuesDueMillis = 0L
            while (scope.isActive) {
                delay(REFRESH_INTERVAL_MILLIS)
                val withQueues = decidesAdmission && clock.nowMillis() >= queuesDueMillis
                peers.refresh(withQueues)
                if (withQueues && peers.queues.isNotEmpty()) {
                    queuesDueMillis = clock.nowMillis() + QUEUES_INTERVAL_MILLIS
                }
            }
        }
        logger.info { "entry host ${self.host} started" }
        Ok(Unit)
    } catch (e: IOException) {
        Err("entry host can't start: ${e.message}")
    }

    /** Connects to [hosts], which reloaded settings name. */
    fun dialHosts(hosts: List<HostName>) = hosts.forEach(peers::dial)

    /** Waits until the host is shut down or fails; the error is the reason of the failure. */
    fun awaitEnd(): Result<Unit, String> = end.get()

    /** Closes the links. Call it after the last client has been answered. */
    fun shutdown() {
        scope.cancel()
        transport.close()
        end.complete(Ok(Unit))
    }

    private object RefusingPeerHandler : PeerHandler {
        override fun onConsensus(message: PeerMessage.Consensus) = Unit

        override fun onGossip(gossip: PeerMessage.Gossip) = Unit

        override suspend fun onCall(from: HostName, request: PeerRequest, timeoutMillis: Long): PeerReply =
            PeerReply.NotDone("an entry host handles no calls")
    }

    private companion object {
        /** Time in which new control hosts are found. The previous ones continue to answer until then. */
        const val REFRESH_INTERVAL_MILLIS = 2_000L

        /** Objectives of queues change rarely, and outdated ones only change how long a call waits for a leader. */
        const val QUEUES_INTERVAL_MILLIS = 20_000L
    }
}
