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
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
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

    private val reloads = Channel<Unit>(Channel.CONFLATED)

    @Volatile
    private var answeredMillis: Long? = null

    /** Whether this host can reach a member of the workload group, and a control host has named the members lately. */
    val isConnected: Boolean
        get() {
            val answered = answeredMillis
            return answered != null && clock.nowMillis() - answered < ANSWER_VALID_MILLIS && peers.reachesMember
        }

    /** Connects to the control hosts. */
    fun start(): Result<Unit, String> = try {
        runBlocking { transport.start() }
        settings.seedHosts.forEach(peers::dial)
        scope.launch { refreshMembers() }
        logger.info { "entry host ${self.host} started" }
        Ok(Unit)
    } catch (e: IOException) {
        Err("entry host can't start: ${e.message}")
    }

    /** Connects to [hosts], which reloaded settings name, and also asks them for the members and the leader. */
    fun dialHosts(hosts: List<HostName>) {
        peers.addSeeds(hosts)
        reloads.trySend(Unit)
    }

    /** Waits until the host is shut down or fails; the error is the reason of the failure. */
    fun awaitEnd(): Result<Unit, String> = end.get()

    /** Closes the links. Call it after the last client has been answered. */
    fun shutdown() {
        scope.cancel()
        transport.close()
        end.complete(Ok(Unit))
    }

    private suspend fun refreshMembers() {
        var queuesDueMillis = 0L
        while (scope.isActive) {
            val withQueues = decidesAdmission && clock.nowMillis() >= queuesDueMillis
            val isAnswered = peers.refresh(withQueues)
            if (isAnswered) answeredMillis = clock.nowMillis()
            if (withQueues && peers.queues.isNotEmpty()) {
                queuesDueMillis = clock.nowMillis() + QUEUES_INTERVAL_MILLIS
            }
            val pauseMillis = if (isAnswered && isConnected) REFRESH_INTERVAL_MILLIS else SEARCH_INTERVAL_MILLIS
            withTimeoutOrNull(pauseMillis) { reloads.receive() }
        }
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

        /** A host that finds no member can serve no client. */
        const val SEARCH_INTERVAL_MILLIS = 200L

        /** Two refreshes may go unanswered, since a single control host may be frozen. */
        const val ANSWER_VALID_MILLIS = 5_000L

        /** Objectives of queues change rarely, and outdated ones only change how long a call waits for a leader. */
        const val QUEUES_INTERVAL_MILLIS = 20_000L
    }
}
