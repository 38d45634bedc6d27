package org.auburnlever.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnlever.codec.Bytes
import org.auburnlever.configuration.Bundle
import org.auburnlever.configuration.ConfigurationCommand
import org.auburnlever.configuration.ConfigurationReply
import org.auburnlever.consensus.ReplicaId
import org.auburnlever.ledger.LedgerCommand
import org.auburnlever.ledger.LedgerReply
import org.auburnlever.ledger.RequestKey
import org.auburnlever.model.AccountName
import org.auburnlever.model.HostName
import org.auburnlever.model.ServiceName
import org.auburnlever.wire.HeartbeatReply
import org.auburnlever.wire.Outcome
import org.auburnlever.wire.WorkerHeartbeat
import org.auburnlever.workload.FleetAnswer
import org.auburnlever.workload.FleetCall
import org.auburnlever.workload.state.Queue

/** Request from one host to another. */
@Serializable
sealed interface PeerRequest {
    /** Submits a command to a ledger group; the receiver must be its leader. */
    @Serializable
    @SerialName("submit_ledger")
    data class SubmitLedger(val group: GroupName, val command: LedgerCommand) : PeerRequest

    /** Submits a command to the configuration group; the receiver must be its leader. */
    @Serializable
    @SerialName("submit_configuration")
    data class SubmitConfiguration(val command: ConfigurationCommand) : PeerRequest

    /** Reads from a ledger; the receiver must be its leader and confirms before it answers that it still is. */
    @Serializable
    @SerialName("read_ledger")
    data class ReadLedger(val group: GroupName, val query: LedgerQuery) : PeerRequest

    /** Runs a service request at an endpoint in the receiver's failure domain. */
    @Serializable
    @SerialName("dispatch")
    data class Dispatch(val request: ServiceRequest) : PeerRequest

    /** Passes a worker's heartbeat on to the leader of its failure domain's ledger. */
    @Serializable
    @SerialName("heartbeat")
    data class Heartbeat(val heartbeat: WorkerHeartbeat) : PeerRequest

    /** Asks for the bundle in force. */
    @Serializable
    @SerialName("fetch_bundle")
    data object FetchBundle : PeerRequest

    /**
     * Asks to admit [replica], which starts with an empty disk, to [group] as a learner in place of its old
     * incarnation.
     */
    @Serializable
    @SerialName("admit")
    data class Admit(val group: GroupName, val replica: ReplicaId) : PeerRequest

    /**
     * Announces that the process of [replica] of [group] shuts down. The reply is `Ok` if the receiver leads the group
     * and the replica's vote is not needed any more.
     */
    @Serializable
    @SerialName("depart")
    data class Depart(val group: GroupName, val replica: ReplicaId) : PeerRequest

    /** Sends [call] to the leader of the workload group. */
    @Serializable
    @SerialName("fleet")
    data class Fleet(val call: FleetCall) : PeerRequest

    /** Asks which hosts hold replicas of the workload group, and for the active queues if [withQueues] is set. */
    @Serializable
    @SerialName("fleet_members")
    data class FleetMembers(val withQueues: Boolean = false) : PeerRequest

    /** Asks for the receiver's state dump. */
    @Serializable
    @SerialName("dump")
    data object Dump : PeerRequest
}

/** A service request on its way to an endpoint. */
@Serializable
data class ServiceRequest(
    val requestId: String,
    val account: AccountName,
    val service: ServiceName,
    val key: RequestKey?,
    val repeatable: Boolean,
    val urgent: Boolean,
    val timeoutMillis: Long,
    val contentType: String,
    val body: Bytes,
)

/** Query to a ledger. */
@Serializable
sealed interface LedgerQuery {
    /** A job of [account]. */
    @Serializable
    @SerialName("job")
    data class Job(val jobId: String, val account: AccountName) : LedgerQuery

    /** The decisions recorded about [name]; [kind] is `job`, `account` or `worker`. */
    @Serializable
    @SerialName("explain")
    data class Explain(val kind: String, val name: String) : LedgerQuery

    /** Counts, workers, guarantees at risk and repairs. */
    @Serializable
    @SerialName("summary")
    data object Summary : LedgerQuery
}

/** Reply to a [PeerRequest]. */
@Serializable
sealed interface PeerReply {
    /** Reply of a ledger. */
    @Serializable
    @SerialName("ledger")
    data class Ledger(val reply: LedgerReply) : PeerReply

    /** Reply of the configuration group. */
    @Serializable
    @SerialName("configuration")
    data class Configuration(val reply: ConfigurationReply) : PeerReply

    /** JSON document that answers a query or a dump request. */
    @Serializable
    @SerialName("document")
    data class Document(val json: String) : PeerReply

    /** Outcome of a dispatched service request. */
    @Serializable
    @SerialName("dispatched")
    data class Dispatched(val outcome: Outcome) : PeerReply

    /** Reply to a worker's heartbeat, with orders for the worker. */
    @Serializable
    @SerialName("orders")
    data class Orders(val reply: HeartbeatReply) : PeerReply

    /** The bundle in force, null if the host has none. */
    @Serializable
    @SerialName("bundle")
    data class BundleInForce(val bundle: Bundle?) : PeerReply

    /** Answer of the leader of the workload group. */
    @Serializable
    @SerialName("fleet")
    data class Fleet(val answer: FleetAnswer) : PeerReply

    /**
     * Hosts that hold replicas of the workload group.
     *
     * @property leader the leader that the replying replica knows in [term]; null if it knows none
     * @property queues the active queues, if the request asked for them
     */
    @Serializable
    @SerialName("fleet_members")
    data class FleetMembers(
        val hosts: List<HostName>,
        val leader: HostName? = null,
        val term: Long = 0,
        val queues: List<Queue> = emptyList(),
    ) : PeerReply

    /** The request had no effect and can be sent to [leader], if known; [term] is 0 if the host did not tell it. */
    @Serializable
    @SerialName("not_leader")
    data class NotLeader(val leader: HostName?, val term: Long = 0) : PeerReply

    /**
     * The request may have taken effect.
     *
     * @property conclusive whether another attempt would be told no more
     */
    @Serializable
    @SerialName("undecided")
    data class Undecided(val message: String, val conclusive: Boolean = false) : PeerReply

    /** The request was not valid or not permitted, and had no effect. */
    @Serializable
    @SerialName("not_done")
    data class NotDone(val message: String) : PeerReply

    /** The request was accepted or carried out. */
    @Serializable
    @SerialName("ok")
    data object Ok : PeerReply
}
