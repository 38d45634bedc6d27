package org.auburnlever.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnlever.codec.Bytes
import org.auburnlever.consensus.ReplicaId
import org.auburnlever.consensus.ReplicaMessage
import org.auburnlever.model.HostName
import org.auburnlever.wire.EndpointAnnouncement

/** Name of a replicated group: `configuration` or `ledger/<domain>`. */
@Serializable
@JvmInline
value class GroupName(val value: String) {
    override fun toString(): String = value
}

/** Message on a link between two `auburnd` processes. */
@Serializable
sealed interface PeerMessage {
    /** A message between two replicas of [group]. */
    @Serializable
    @SerialName("consensus")
    data class Consensus(
        val group: GroupName,
        val from: ReplicaId,
        val to: ReplicaId,
        val message: ReplicaMessage,
    ) : PeerMessage

    /** Sends [request]; the caller stops waiting for the reply after [timeoutMillis]. */
    @Serializable
    @SerialName("call")
    data class Call(val callId: Long, val timeoutMillis: Long, val request: PeerRequest) : PeerMessage

    /** Answers the call with the same id. */
    @Serializable
    @SerialName("reply")
    data class Reply(val callId: Long, val reply: PeerReply) : PeerMessage

    /** A part of a large message, which is deflated; the parts follow each other on the link. */
    @Serializable
    @SerialName("part")
    data class Part(val last: Boolean, val data: Bytes) : PeerMessage

    /** Gossip that a host sends to all others every 500 ms; [sentMillis] is the sending time by its monotonic clock. */
    @Serializable
    @SerialName("gossip")
    data class Gossip(
        val host: HostName,
        val incarnation: Long,
        val bundleVersion: Long,
        val bundleDigestHex: String?,
        val endpoints: List<AgedAnnouncement>,
        val leaders: Map<GroupName, GroupLeader>,
        val loads: List<ServiceLoad>,
        val capacity: DomainCapacity?,
        val incarnations: Map<GroupName, Long> = emptyMap(),
        val sentMillis: Long? = null,
    ) : PeerMessage
}

/** An announcement and its age since the endpoint sent it; with ages, hosts need no common clock. */
@Serializable
data class AgedAnnouncement(val announcement: EndpointAnnouncement, val ageMillis: Long)

/** The leader of a group that a host knows of, and its term. */
@Serializable
data class GroupLeader(val term: Long, val leader: HostName)

/** Free slots and queued requests for one service at the sending host. */
@Serializable
data class ServiceLoad(val service: String, val freeSlots: Int, val queued: Int)

/** Accelerators of a failure domain, as reported by the leader of its ledger. */
@Serializable
data class DomainCapacity(val domain: String, val acceleratorsTotal: Int, val acceleratorsFree: Int)
