package org.auburnlever.host

import org.auburnlever.consensus.MembershipChange
import org.auburnlever.consensus.ReplicaInput
import org.auburnlever.entry.Dispatcher
import org.auburnlever.entry.RoutingGossip
import org.auburnlever.model.HostName
import org.auburnlever.observe.Dumpable
import org.auburnlever.peer.PeerMessage
import org.auburnlever.peer.PeerReply
import org.auburnlever.peer.PeerRequest
import org.auburnlever.transport.PeerHandler
import org.auburnlever.wire.HeartbeatReply

/** The components of a host that handle messages and calls of other hosts. */
internal data class PeerComponents(
    val groups: HostGroups,
    val cluster: ClusterView,
    val activeBundle: ActiveBundle,
    val routing: RoutingGossip,
    val dispatcher: Dispatcher,
    val dump: Dumpable,
    val onNewerBundle: (HostName) -> Unit,
)

/** Passes messages and calls of other hosts to the component that handles them. */
internal class HostPeerHandler : PeerHandler {
    @Volatile
    private var components: PeerComponents? = null

    /** Starts to answer with [components]. Until then, calls get [PeerReply.NotLeader] and messages are dropped. */
    fun start(components: PeerComponents) {
        this.components = components
    }

    override fun onConsensus(message: PeerMessage.Consensus) {
        val runner = components?.groups?.runners?.firstOrNull { it.group == message.group } ?: return
        runner.enqueue(ReplicaInput.Received(message.from, message.message, message.to))
    }

    override fun onGossip(gossip: PeerMessage.Gossip) {
        val components = components ?: return
        components.cluster.record(gossip)
        components.routing.receive(gossip.host, gossip.sentMillis, gossip.endpoints, gossip.loads)
        if (gossip.bundleVersion > components.activeBundle.version) components.onNewerBundle(gossip.host)
    }

    override suspend fun onCall(from: HostName, request: PeerRequest, timeoutMillis: Long): PeerReply {
        val components = components ?: return PeerReply.NotLeader(null)
        return when (request) {
            is PeerRequest.SubmitLedger -> submit(components, request)
            is PeerRequest.SubmitConfiguration -> submit(components, request)
            is PeerRequest.ReadLedger -> read(components, request)
            is PeerRequest.Dispatch -> components.dispatcher.dispatchForPeer(request)
            is PeerRequest.Heartbeat -> heartbeat(components, request)
            is PeerRequest.Admit -> admit(components, request)
            is PeerRequest.Fleet, is PeerRequest.FleetMembers, is PeerRequest.Depart ->
                PeerReply.NotDone("this host has no workload group")
            PeerRequest.FetchBundle -> PeerReply.BundleInForce(components.activeBundle.bundle)
            PeerRequest.Dump -> PeerReply.Document(components.dump.dump().toString())
        }
    }

    private suspend fun submit(components: PeerComponents, request: PeerRequest.SubmitLedger): PeerReply =
        components.groups.ledgers[request.group]?.submit(request.command).toReply { PeerReply.Ledger(it) }

    private suspend fun submit(components: PeerComponents, request: PeerRequest.SubmitConfiguration): PeerReply =
        components.groups.configuration?.submit(request.command).toReply { PeerReply.Configuration(it) }

    private suspend fun read(components: PeerComponents, request: PeerRequest.ReadLedger): PeerReply =
        components.groups.ledgers[request.group]?.read(request.query).toReply { PeerReply.Document(it) }

    private suspend fun heartbeat(components: PeerComponents, request: PeerRequest.Heartbeat): PeerReply {
        val ledger = components.groups.ledgers[ledgerGroup(request.heartbeat.failureDomain)]
        val reply: HeartbeatReply? = ledger?.heartbeat(request.heartbeat)
        return reply?.let { PeerReply.Orders(it) } ?: PeerReply.NotLeader(null)
    }

    private suspend fun admit(components: PeerComponents, request: PeerRequest.Admit): PeerReply {
        val runner = components.groups.runners.firstOrNull { it.group == request.group }
        return runner?.change(MembershipChange.AddLearner(request.replica)).toReply { PeerReply.Ok }
    }
}

/** Converts to the reply for a peer. Null, for a group that has no replica here, becomes [PeerReply.NotLeader]. */
internal fun <T> Submission<T>?.toReply(applied: (T) -> PeerReply): PeerReply = when (this) {
    null -> PeerReply.NotLeader(null)
    is Submission.Applied -> applied(reply)
    is Submission.NotLeader -> PeerReply.NotLeader(leader, term)
    is Submission.Refused -> PeerReply.NotDone(message)
    is Submission.Undecided -> PeerReply.Undecided(message, conclusive)
}
