package org.auburnlever.host

import org.auburnlever.consensus.MembershipChange
import org.auburnlever.consensus.ReplicaInput
import org.auburnlever.entry.Dispatcher
import org.auburnlever.entry.RoutingGossip
import org.auburnlever.observe.Dumpable
import org.auburnlever.peer.PeerMessage
import org.auburnlever.peer.PeerReply
import org.auburnlever.peer.PeerRequest
import org.auburnlever.transport.PeerHandler
import org.auburnlever.wire.HeartbeatReply
import org.auburnlever.world.HostName

/** The parts of a host that answer other hosts. */
internal data class AnsweringParts(
    val groups: HostGroups,
    val cluster: ClusterView,
    val activeBundle: ActiveBundle,
    val routing: RoutingGossip,
    val dispatcher: Dispatcher,
    val dump: Dumpable,
    val onNewerBundle: (HostName) -> Unit,
)

/** Passes what other hosts send to the part of this host that it concerns. */
internal class PeerCalls : PeerHandler {
    @Volatile
    private var parts: AnsweringParts? = null

    /** Begins to answer; until then calls get `NotDone`, and messages are dropped. */
    fun open(parts: AnsweringParts) {
        this.parts = parts
    }

    override fun onConsensus(message: PeerMessage.Consensus) {
        val runner = parts?.groups?.runners?.firstOrNull { it.group == message.group } ?: return
        runner.feed(ReplicaInput.Received(message.from, message.message, message.to))
    }

    override fun onGossip(gossip: PeerMessage.Gossip) {
        val parts = parts ?: return
        parts.cluster.heard(gossip)
        parts.routing.receive(gossip.host, gossip.sentMillis, gossip.endpoints, gossip.loads)
        if (gossip.bundleVersion > parts.activeBundle.version) parts.onNewerBundle(gossip.host)
    }

    override suspend fun onCall(from: HostName, request: PeerRequest, timeoutMillis: Long): PeerReply {
        val parts = parts ?: return PeerReply.NotLeader(null)
        return when (request) {
            is PeerRequest.SubmitLedger -> submit(parts, request)
            is PeerRequest.SubmitConfiguration -> submit(parts, request)
            is PeerRequest.ReadLedger -> read(parts, request)
            is PeerRequest.Dispatch -> parts.dispatcher.dispatchForPeer(request)
            is PeerRequest.Heartbeat -> heartbeat(parts, request)
            is PeerRequest.Admit -> admit(parts, request)
            is PeerRequest.Fleet, PeerRequest.FleetMembers -> PeerReply.NotDone("this host has no workload group")
            PeerRequest.FetchBundle -> PeerReply.BundleInForce(parts.activeBundle.bundle)
            PeerRequest.Dump -> PeerReply.Document(parts.dump.dump().toString())
        }
    }

    private suspend fun submit(parts: AnsweringParts, request: PeerRequest.SubmitLedger): PeerReply =
        parts.groups.ledgers[request.group]?.submit(request.command).toReply { PeerReply.Ledger(it) }

    private suspend fun submit(parts: AnsweringParts, request: PeerRequest.SubmitConfiguration): PeerReply =
        parts.groups.configuration?.submit(request.command).toReply { PeerReply.Configuration(it) }

    private suspend fun read(parts: AnsweringParts, request: PeerRequest.ReadLedger): PeerReply =
        parts.groups.ledgers[request.group]?.read(request.query).toReply { PeerReply.Document(it) }

    private suspend fun heartbeat(parts: AnsweringParts, request: PeerRequest.Heartbeat): PeerReply {
        val ledger = parts.groups.ledgers[ledgerGroup(request.heartbeat.failureDomain)]
        val reply: HeartbeatReply? = ledger?.heartbeat(request.heartbeat)
        return reply?.let { PeerReply.Orders(it) } ?: PeerReply.NotLeader(null)
    }

    private suspend fun admit(parts: AnsweringParts, request: PeerRequest.Admit): PeerReply {
        val runner = parts.groups.runners.firstOrNull { it.group == request.group }
        return runner?.change(MembershipChange.AddLearner(request.replica)).toReply { PeerReply.Ok }
    }
}

/** A group that this host keeps no replica of, null here, is answered like one that it does not lead. */
internal fun <T> Submission<T>?.toReply(applied: (T) -> PeerReply): PeerReply = when (this) {
    null -> PeerReply.NotLeader(null)
    is Submission.Applied -> applied(reply)
    is Submission.NotLeader -> PeerReply.NotLeader(leader)
    is Submission.Refused -> PeerReply.NotDone(message)
    is Submission.Undecided -> PeerReply.Undecided(message)
}
