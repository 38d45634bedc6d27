package org.auburnlever.consensus

private const val HEARTBEAT_MILLIS = 100L
private const val ELECTION_TIMEOUT_MIN_MILLIS = 500L
private const val ELECTION_TIMEOUT_MAX_MILLIS = 1_000L
private const val WITNESS_TIMEOUT_FACTOR = 2
private const val KIB = 1_024

// Peer frames are limited to 1 MiB; half of it leaves room for encoding and one entry of the largest size.
private const val MAX_BATCH_BYTES = 512 * KIB
private const val MAX_BATCH_ENTRIES = 200
private const val MAX_IN_FLIGHT_MESSAGES = 4
private const val SNAPSHOT_CHUNK_BYTES = 64 * KIB
private const val SNAPSHOT_AFTER_ENTRIES = 1_000
private const val SNAPSHOT_AFTER_BYTES = 4L * KIB * KIB

// Lets a follower that is a few batches behind catch up from the log instead of a whole snapshot.
private const val RETAINED_ENTRIES = 1_000
private const val RETAINED_BYTES = KIB * KIB
private const val CATCH_UP_ENTRIES = 64

/**
 * Timings and limits of a replica; the same for all replicas of a group, but for [seed].
 *
 * @property heartbeatMillis interval of the leader's heartbeats
 * @property electionTimeoutMinMillis a replica that heard from a leader within this time grants no vote
 * @property electionTimeoutMaxMillis a leader that a majority has not answered for this time steps down
 * @property witnessTimeoutFactor how much longer a witness waits before it campaigns
 * @property maxBatchBytes limit of the entries of one message, and of one command
 * @property maxBatchEntries limit of the entries of one message
 * @property maxInFlightMessages messages with entries that a peer has not answered yet
 * @property snapshotChunkBytes size of one part of a snapshot in transfer
 * @property snapshotAfterEntries applied entries after which a snapshot is due
 * @property snapshotAfterBytes size of applied entries after which a snapshot is due
 * @property retainedEntries entries kept in memory before a snapshot's index
 * @property retainedBytes size limit of the entries kept before a snapshot's index
 * @property catchUpEntries a replica that lacks at most this many entries counts as caught up
 * @property seed start of the random election timeouts; must differ between the replicas of a group
 */
data class ReplicaSettings(
    val heartbeatMillis: Long = HEARTBEAT_MILLIS,
    val electionTimeoutMinMillis: Long = ELECTION_TIMEOUT_MIN_MILLIS,
    val electionTimeoutMaxMillis: Long = ELECTION_TIMEOUT_MAX_MILLIS,
    val witnessTimeoutFactor: Int = WITNESS_TIMEOUT_FACTOR,
    val maxBatchBytes: Int = MAX_BATCH_BYTES,
    val maxBatchEntries: Int = MAX_BATCH_ENTRIES,
    val maxInFlightMessages: Int = MAX_IN_FLIGHT_MESSAGES,
    val snapshotChunkBytes: Int = SNAPSHOT_CHUNK_BYTES,
    val snapshotAfterEntries: Int = SNAPSHOT_AFTER_ENTRIES,
    val snapshotAfterBytes: Long = SNAPSHOT_AFTER_BYTES,
    val retainedEntries: Int = RETAINED_ENTRIES,
    val retainedBytes: Int = RETAINED_BYTES,
    val catchUpEntries: Int = CATCH_UP_ENTRIES,
    val seed: Long,
)
