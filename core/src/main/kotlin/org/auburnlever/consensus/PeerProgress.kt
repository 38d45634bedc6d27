package org.auburnlever.consensus

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/** Method by which the leader sends the log to a peer. */
enum class ReplicationMode {
    /** Searches for the last common entry with one empty message at a time. */
    PROBE,

    /** Sends entries in several messages at a time, without waiting for each answer. */
    REPLICATE,

    /** Sends a snapshot, one chunk at a time. */
    SNAPSHOT,
}

/**
 * Replication progress of one peer, as the leader knows it.
 *
 * @property matchIndex last index up to which the peer's log is known to equal the leader's
 * @property nextIndex index of the next entry to send
 * @property lastAnswerMillis time of the peer's last answer in this term; null if there is none
 * @property round newest read round that the peer answered
 * @property inFlight last index of each message with entries that the peer has not answered yet
 * @property awaitingAnswer whether the message or chunk in flight must be answered before the next one is sent; a
 *     heartbeat resets it, so that a lost one is sent again
 * @property transfer the snapshot being sent to the peer, if any
 */
@ConsistentCopyVisibility
data class PeerProgress internal constructor(
    val matchIndex: Long,
    val nextIndex: Long,
    val mode: ReplicationMode,
    val lastAnswerMillis: Long?,
    val round: Long,
    internal val inFlight: PersistentList<Long>,
    internal val awaitingAnswer: Boolean,
    internal val transfer: SnapshotTransfer?,
) {
    internal fun probing(next: Long): PeerProgress = copy(
        nextIndex = next,
        mode = ReplicationMode.PROBE,
        inFlight = persistentListOf(),
        awaitingAnswer = false,
        transfer = null,
    )

    internal fun replicating(match: Long): PeerProgress = probing(match + 1).copy(
        matchIndex = match,
        mode = ReplicationMode.REPLICATE,
    )

    internal fun receiving(snapshot: Snapshot): PeerProgress = probing(snapshot.lastIndex + 1).copy(
        mode = ReplicationMode.SNAPSHOT,
        transfer = SnapshotTransfer(snapshot, offsetBytes = 0),
    )

    internal companion object {
        fun startingAt(nextIndex: Long, mode: ReplicationMode): PeerProgress = PeerProgress(
            matchIndex = 0,
            nextIndex = nextIndex,
            mode = mode,
            lastAnswerMillis = null,
            round = 0,
            inFlight = persistentListOf(),
            awaitingAnswer = false,
            transfer = null,
        )
    }
}

/** Progress of a snapshot sent to a peer, which has the bytes before [offsetBytes]. */
internal data class SnapshotTransfer(val snapshot: Snapshot, val offsetBytes: Int)
