package org.auburnlever.consensus

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/** How the leader sends the log to a peer. */
enum class ReplicationMode {
    /** Looks for the last common entry with empty messages, one at a time. */
    PROBE,

    /** Sends entries without waiting for each answer. */
    REPLICATE,

    /** Sends a snapshot in chunks. */
    SNAPSHOT,
}

/**
 * What the leader knows of one peer.
 *
 * @property matchIndex the peer's log is known to equal the leader's up to here
 * @property nextIndex next entry to send
 * @property heardMillis when the peer last answered in this term; null if it has not
 * @property round newest read round that the peer answered
 */
@ConsistentCopyVisibility
data class PeerProgress internal constructor(
    val matchIndex: Long,
    val nextIndex: Long,
    val mode: ReplicationMode,
    val heardMillis: Long?,
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
            heardMillis = null,
            round = 0,
            inFlight = persistentListOf(),
            awaitingAnswer = false,
            transfer = null,
        )
    }
}

/** A snapshot on its way to a peer, which has the bytes before [offsetBytes]. */
internal data class SnapshotTransfer(val snapshot: Snapshot, val offsetBytes: Int)
