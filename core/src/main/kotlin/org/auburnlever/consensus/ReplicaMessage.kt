package org.auburnlever.consensus

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnlever.codec.Bytes

/** A message between the replicas of a group. */
@Serializable
sealed interface ReplicaMessage {
    /** Sender's term. */
    val term: Long

    /** Asks whether an election in the term after [term] could be won; changes nothing at the receiver. */
    @Serializable
    @SerialName("preVoteRequest")
    data class PreVoteRequest(override val term: Long, val lastIndex: Long, val lastTerm: Long) : ReplicaMessage

    /** Answers a [PreVoteRequest]. */
    @Serializable
    @SerialName("preVoteAnswer")
    data class PreVoteAnswer(override val term: Long, val granted: Boolean) : ReplicaMessage

    /** Asks for the vote in [term]; [transfer] is set when this election is part of a leadership transfer. */
    @Serializable
    @SerialName("voteRequest")
    data class VoteRequest(
        override val term: Long,
        val lastIndex: Long,
        val lastTerm: Long,
        val transfer: Boolean,
    ) : ReplicaMessage

    /** Answers a [VoteRequest]. */
    @Serializable
    @SerialName("voteAnswer")
    data class VoteAnswer(override val term: Long, val granted: Boolean) : ReplicaMessage

    /**
     * Carries the entries that follow the one at [previousIndex]; without entries it is a heartbeat.
     *
     * [round] numbers the leader's read rounds in its term; each answer returns it.
     */
    @Serializable
    @SerialName("append")
    data class Append(
        override val term: Long,
        val previousIndex: Long,
        val previousTerm: Long,
        val entries: List<LogEntry>,
        val commitIndex: Long,
        val round: Long,
    ) : ReplicaMessage

    /** Reports that the sender's log equals the leader's up to [matchIndex]. */
    @Serializable
    @SerialName("appendAccepted")
    data class AppendAccepted(override val term: Long, val matchIndex: Long, val round: Long) : ReplicaMessage

    /**
     * Reports that the sender has no entry at [previousIndex] with the leader's term.
     *
     * [conflictTerm] is the term that it has there and [conflictIndex] the first index of that term in its log. Without
     * an entry there, the term is null and the index is the one after its last entry.
     */
    @Serializable
    @SerialName("appendRejected")
    data class AppendRejected(
        override val term: Long,
        val previousIndex: Long,
        val conflictIndex: Long,
        val conflictTerm: Long?,
        val round: Long,
    ) : ReplicaMessage

    /**
     * Reports that the receiver's message was of an older term than [term].
     *
     * It returns no read round: rounds restart in each term, so a re-elected leader would take the round of its earlier
     * term for a current one and could confirm a stale read.
     */
    @Serializable
    @SerialName("termOutdated")
    data class TermOutdated(override val term: Long) : ReplicaMessage

    /** Carries the part of a [Snapshot]'s serialized state machine that begins at [offsetBytes] of [totalBytes]. */
    @Serializable
    @SerialName("snapshotChunk")
    data class SnapshotChunk(
        override val term: Long,
        val lastIndex: Long,
        val lastTerm: Long,
        val membership: Membership,
        val offsetBytes: Int,
        val totalBytes: Int,
        val data: Bytes,
        val round: Long,
    ) : ReplicaMessage

    /** Reports that the sender has the first [receivedBytes] of the snapshot at [lastIndex]. */
    @Serializable
    @SerialName("snapshotProgress")
    data class SnapshotProgress(
        override val term: Long,
        val lastIndex: Long,
        val receivedBytes: Int,
        val round: Long,
    ) : ReplicaMessage

    /** Asks the receiver to start an election at once, as the last step of a leadership transfer. */
    @Serializable
    @SerialName("timeoutNow")
    data class TimeoutNow(override val term: Long) : ReplicaMessage
}
