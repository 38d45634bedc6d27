package org.auburnlever.consensus

private const val HEARTBEAT_MILLIS = 100L
private const val ELECTION_TIMEOUT_MIN_MILLIS = 500L
private const val ELECTION_TIMEOUT_MAX_MILLIS = 1_000L
private const val WITNESS_TIMEOUT_FACTOR = 2
private const val KIB = 1_024

// Peer frames are limited to 1 MiB; half of that leaves space for the encoding and for one entry of the largest size.
private const val MAX_BATCH_BYTES = 512 * KIB

// An order of 4 MiB, the largest that the HTTP interface accepts, has fields with longer names in its command.
private const val MAX_COMMAND_BYTES = 12 * KIB * KIB
private const val COMMAND_PART_BYTES = 128 * KIB
private const val MAX_BATCH_ENTRIES = 200
private const val MAX_IN_FLIGHT_MESSAGES = 4
private const val SNAPSHOT_CHUNK_BYTES = 64 * KIB
private const val SNAPSHOT_AFTER_ENTRIES = 1_000
private const val SNAPSHOT_AFTER_BYTES = 4L * KIB * KIB

// Entries kept before the snapshot let a follower that is a few batches behind catch up from the log instead of
// from a whole snapshot.
private const val RETAINED_ENTRIES = 1_000
private const val RETAINED_BYTES = KIB * KIB
private const val CATCH_UP_ENTRIES = 64

/**
 * Timings and limits of a replica; all but [seed] must be the same for all replicas of a group.
 *
 * @property heartbeatMillis interval of the leader's heartbeats
 * @property electionTimeoutMinMillis shortest election timeout; a replica that received a message from a leader within
 *     this time grants no vote
 * @property electionTimeoutMaxMillis longest election timeout; a leader steps down if no majority answered it within
 *     this time
 * @property witnessTimeoutFactor factor of a witness's election timeout, so that voters usually start elections first
 * @property maxBatchBytes size limit of the entries of one message
 * @property maxCommandBytes size limit of a command
 * @property commandPartBytes largest command that is stored as it is; a larger one is deflated and split into parts of
 *     this size
 * @property maxBatchEntries limit of the number of entries of one message
 * @property maxInFlightMessages limit of the messages with entries that a peer has not answered yet
 * @property snapshotChunkBytes size limit of one chunk of a snapshot in transfer
 * @property snapshotAfterEntries number of applied entries after which a snapshot is due
 * @property snapshotAfterBytes size of applied entries after which a snapshot is due
 * @property retainedEntries limit of the number of entries kept in memory up to a snapshot's index
 * @property retainedBytes size limit of the entries kept up to a snapshot's index
 * @property catchUpEntries a replica that lacks at most this many entries counts as caught up
 * @property seed seed of the random election timeouts; must differ between the replicas of a group
 */
data class ReplicaSettings(
    val heartbeatMillis: Long = HEARTBEAT_MILLIS,
    val electionTimeoutMinMillis: Long = ELECTION_TIMEOUT_MIN_MILLIS,
    val electionTimeoutMaxMillis: Long = ELECTION_TIMEOUT_MAX_MILLIS,
    val witnessTimeoutFactor: Int = WITNESS_TIMEOUT_FACTOR,
    val maxBatchBytes: Int = MAX_BATCH_BYTES,
    val maxCommandBytes: Int = MAX_COMMAND_BYTES,
    val commandPartBytes: Int = COMMAND_PART_BYTES,
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
