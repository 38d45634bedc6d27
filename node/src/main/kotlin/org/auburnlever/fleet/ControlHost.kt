package org.auburnlever.fleet

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.auburnlever.consensus.MembershipChange
import org.auburnlever.consensus.ReplicaId
import org.auburnlever.consensus.ReplicaInput
import org.auburnlever.consensus.ReplicaMessage
import org.auburnlever.consensus.voters
import org.auburnlever.host.GroupContext
import org.auburnlever.host.GroupRunner
import org.auburnlever.host.GroupView
import org.auburnlever.host.HostClock
import org.auburnlever.host.Submission
import org.auburnlever.host.toReply
import org.auburnlever.model.HostName
import org.auburnlever.peer.GroupName
import org.auburnlever.peer.PeerMessage
import org.auburnlever.peer.PeerReply
import org.auburnlever.peer.PeerRequest
import org.auburnlever.transport.PeerHandler
import org.auburnlever.transport.PeerTransport
import org.auburnlever.transport.SharedKey
import org.auburnlever.workload.FleetAnswer
import org.auburnlever.workload.FleetCall
import org.auburnlever.workload.state.WorkloadReply
import org.auburnlever.workload.state.WorkloadState
import java.io.IOException
import java.nio.file.Path
import java.util.concurrent.CompletableFuture

private val logger = KotlinLogging.logger {}

/**
 * A control host: keeps a replica of the workload group on its disk and schedules the workers while that replica leads.
 *
 * ```
 * val host = ControlHost(settings, workerClient, registry)
 * host.start()
 * host.client.ask(FleetCall.ReadCatalog, timeoutMillis = 1_000)
 * ```
 */
class ControlHost(
    private val settings: FleetSettings,
    private val workers: WorkerClient,
    private val registry: MeterRegistry,
) {
    private val clock = HostClock()
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val end = CompletableFuture<Result<Unit, String>>()
    private val self = FleetPeers.peer(settings.self, settings.peerPort)
    private val transport =
        PeerTransport(self, emptyList(), SharedKey(settings.sharedKey), ControlPeerHandler(), registry) { exception ->
            fail("the transport of the peer links failed", exception)
        }
    private val peers = FleetPeers(settings, transport)

    @Volatile
    private var components: Components? = null

    private class Components(
        val runner: GroupRunner<WorkloadState, WorkloadReply>,
        val leader: WorkloadLeader,
        val callHandler: FleetCallHandler,
        val membership: FleetMembership,
    )

    /** Calls the leader of the workload group, which may be this host. */
    val client = FleetClient(
        transport,
        peers::members,
        ControlReplica(),
        clock,
        FleetCallLog(registry),
    )

    /** Whether this host knows the leader and can reach it. */
    val isConnected: Boolean
        get() {
            val leader = components?.runner?.view?.leader?.host
            return leader != null && (leader == self.host || leader in transport.reachable())
        }

    /** Opens the log, connects to the other hosts and starts the replica. */
    fun start(): Result<Unit, String> {
        val folder = checkNotNull(settings.dataFolder) { "a control host needs a data folder" }
        return try {
            openReplica(folder).map { (opened, initialMembership) ->
                val groupContext = ControlGroupContext()
                val runner = GroupRunner(
                    WORKLOAD_GROUP,
                    opened,
                    initialMembership,
                    WorkloadStateMachine,
                    groupContext,
                    clock,
                )
                Gauge.builder("auburn.evacuations") { runner.view.state.evacuations.size }.register(registry)
                val decisions = DecisionLog(registry)
                val leader = WorkloadLeader(runner, workers, settings, scope, clock, decisions)
                val report = GroupReport(runner, decisions, registry)
                val membership = FleetMembership(runner, peers, transport, settings, clock, report)
                val callHandler = FleetCallHandler(runner, leader, decisions, clock)
                components = Components(runner, leader, callHandler, membership)
                runner.start()
                runBlocking { transport.start() }
                settings.seedHosts.forEach(peers::dial)
                scope.launch { membership.maintain() }
                logger.info { "control host ${self.host} started with replica ${opened.replica}" }
            }
        } catch (e: IOException) {
            Err("control host can't start: ${e.message}")
        }
    }

    /** Connects to [hosts], which reloaded settings name, and also asks them for the leader and for admission. */
    fun dialHosts(hosts: List<HostName>) = peers.addSeeds(hosts)

    /** Waits until the host is shut down or fails; the error is the reason of the failure. */
    fun awaitEnd(): Result<Unit, String> = end.get()

    /** Transfers the leadership if this host has it, hands its vote over if another host can take it, and stops. */
    fun shutdown() {
        components?.let {
            transferLeadership(it)
            handOverVote(it.membership)
            // A voter that waits for its successor may be elected again.
            transferLeadership(it)
        }
        scope.cancel()
        components?.runner?.stop()
        transport.close()
        end.complete(Ok(Unit))
    }

    private fun openReplica(folder: Path) =
        InitialMembersFile(folder).openReplica(
            settings.self,
            settings.seedHosts,
            settings.firstStart,
        ).mapError { it.message }

    private fun transferLeadership(components: Components) {
        val runner = components.runner
        val view = runner.view
        val matchIndices = view.peers.filterKeys { it in view.membership.voters }.mapValues { it.value.matchIndex }
        val successor = leadershipSuccessor(matchIndices, components.membership.departingReplicas())
        if (!view.isLeader || successor == null) return
        logger.info { "transferring the leadership to $successor" }
        runner.enqueue(ReplicaInput.TransferLeadership(successor))
        val untilMillis = clock.nowMillis() + TRANSFER_TIMEOUT_MILLIS
        while (runner.view.isLeader && clock.nowMillis() < untilMillis) Thread.sleep(TRANSFER_POLL_MILLIS)
    }

    /** Votes on until another host votes in its place; a host that replaces this one may still be starting. */
    private fun handOverVote(membership: FleetMembership) = runBlocking {
        val done = withTimeoutOrNull(HANDOVER_TIMEOUT_MILLIS) { membership.handOverVote() }
        logger.info { if (done == null) "no other host took the vote" else "the vote is not needed any more" }
    }

    private fun fail(message: String, cause: Throwable?) {
        logger.error(cause) { message }
        end.complete(Err(message))
    }

    private inner class ControlReplica : LocalReplica {
        override suspend fun handle(call: FleetCall): Submission<FleetAnswer> =
            components?.callHandler?.handle(call) ?: Submission.NotLeader(null)

        override fun state(): WorkloadState? = components?.runner?.view?.state
    }

    private inner class ControlGroupContext : GroupContext {
        override fun send(group: GroupName, from: ReplicaId, to: ReplicaId, message: ReplicaMessage) =
            transport.send(to.host, PeerMessage.Consensus(group, from, to, message))

        override fun fail(message: String, cause: Throwable?) = this@ControlHost.fail(message, cause)
    }

    private inner class ControlPeerHandler : PeerHandler {
        override fun onConsensus(message: PeerMessage.Consensus) {
            // Without a link, a replica that another host admitted would get no answer.
            peers.dial(message.from.host)
            components?.runner?.enqueue(ReplicaInput.Received(message.from, message.message, message.to))
        }

        override fun onGossip(gossip: PeerMessage.Gossip) = Unit

        override suspend fun onCall(from: HostName, request: PeerRequest, timeoutMillis: Long): PeerReply {
            val components = components ?: return PeerReply.NotLeader(null)
            return when (request) {
                is PeerRequest.Fleet -> components.callHandler.handle(request.call).toReply { PeerReply.Fleet(it) }
                is PeerRequest.Admit -> admit(components, request)
                is PeerRequest.Depart -> components.membership.onDeparture(request.replica)
                is PeerRequest.FleetMembers -> members(components.runner.view, request.withQueues)
                else -> PeerReply.NotDone("a control host does not handle this call")
            }
        }

        private fun members(view: GroupView<WorkloadState>, withQueues: Boolean) = PeerReply.FleetMembers(
            hosts = view.membership.roles.keys.map { it.host },
            leader = view.leader?.host,
            term = view.term,
            queues = if (withQueues) view.state.catalog?.queues.orEmpty() else emptyList(),
        )

        private suspend fun admit(components: Components, request: PeerRequest.Admit): PeerReply {
            peers.dial(request.replica.host)
            val view = components.runner.view
            if (view.isLeader && request.replica in view.membership.roles) return PeerReply.Ok
            return components.runner.change(MembershipChange.AddLearner(request.replica)).toReply { PeerReply.Ok }
        }
    }

    private companion object {
        /** A transfer takes one round trip and an election. The others hold an election without it after 1 s. */
        const val TRANSFER_TIMEOUT_MILLIS = 1_000L
        const val TRANSFER_POLL_MILLIS = 20L

        /** Time in which a host that was started just before this one is shut down has joined the group. */
        const val HANDOVER_TIMEOUT_MILLIS = 2_000L
    }
}
