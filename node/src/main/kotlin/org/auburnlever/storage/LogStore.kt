package org.auburnlever.storage

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onFailure
import org.auburnlever.consensus.DurableWrite
import org.auburnlever.consensus.RecoveredLog
import org.auburnlever.consensus.ReplicaId
import org.auburnlever.consensus.Snapshot
import org.auburnlever.model.HostName
import java.nio.file.Path

// Bounds how much a restart reads into memory at once; usually a snapshot begins a new segment long before.
private const val MAX_SEGMENT_BYTES = 8L * 1_024 * 1_024

/** An opened store with the replica it belongs to and the state read from its folder. */
data class OpenedLog(val store: LogStore, val replica: ReplicaId, val recovered: RecoveredLog)

/**
 * Stores the votes, log entries and snapshots of one replica durably in a folder of its own.
 *
 * Not thread-safe. After a failed [write] all later ones fail too, since after a failed sync it is unknown what is on
 * the disk.
 *
 * ```
 * LogStore.format(folder, host)
 * LogStore.open(folder, host).onSuccess { opened -> opened.store.write(listOf(DurableWrite.Vote(1, null))) }
 * ```
 */
class LogStore private constructor(
    private val files: LogFiles,
    private val disk: Disk,
    private val lock: FolderLock,
    private val state: PersistentState,
    private var segment: SegmentFile,
) : AutoCloseable {
    private var output: AppendFile = disk.open(segment.file)
    private var failure: StorageError? = null

    /** Size of the current segment in bytes. */
    val segmentBytes: Long get() = output.sizeBytes

    /** Stores [writes] in order and returns once they are synced; needs one sync unless a snapshot is among them. */
    fun write(writes: List<DurableWrite>): Result<Unit, StorageError> {
        failure?.let { return Err(StorageError.Unusable(it)) }
        return catchStorageErrors(files.folder) { store(writes) }.onFailure { failure = it }
    }

    override fun close() {
        output.close()
        lock.close()
    }

    private fun store(writes: List<DurableWrite>) {
        val pending = mutableListOf<DurableWrite>()
        for (write in writes) {
            state.apply(write)
            if (write is DurableWrite.Install) {
                // The new segment begins with the whole state including the pending writes, so they need no own record.
                pending.clear()
                install(write.snapshot)
            } else {
                pending += write
            }
        }
        if (pending.isNotEmpty()) append(pending)
    }

    private fun append(writes: List<DurableWrite>) {
        if (output.sizeBytes >= MAX_SEGMENT_BYTES) {
            beginSegment(files.segment(segment.snapshotIndex, segment.sequence + 1), ByteArray(0))
        }
        output.append(encodeBatch(writes))
        output.sync()
    }

    private fun install(snapshot: Snapshot) {
        disk.writeSnapshot(files.snapshot(snapshot.lastIndex), snapshot)
        beginSegmentAfterSnapshot()
    }

    private fun beginSegmentAfterSnapshot() {
        beginSegment(files.segment(state.snapshotIndex, sequence = 0), encodeBatch(state.toWrites()))
        files.removeBefore(state.snapshotIndex)
    }

    private fun beginSegment(next: SegmentFile, content: ByteArray) {
        disk.createAtomically(next.file, content)
        output.close()
        segment = next
        output = disk.open(next.file)
    }

    companion object {
        /** Formats [folder] for the first start of a replica on [host], with incarnation 1. */
        fun format(folder: Path, host: HostName, disk: Disk = SystemDisk): Result<ReplicaId, StorageError> =
            catchStorageErrors(folder) {
                FolderLock.acquire(folder).use {
                    if (readIdentity(folder, host) != null || LogFiles(folder).hasLog()) {
                        throw StorageException(StorageError.AlreadyFormatted(folder))
                    }
                    create(folder, ReplicaIdentity.first(host), disk).replica
                }
            }

        /**
         * Opens the replica in [folder].
         *
         * A folder that was not formatted and holds no log is treated as a replaced disk: the replica gets a new
         * incarnation from [incarnations].
         */
        fun open(
            folder: Path,
            host: HostName,
            disk: Disk = SystemDisk,
            incarnations: () -> Long = ::newIncarnation,
        ): Result<OpenedLog, StorageError> = catchStorageErrors(folder) {
            val lock = FolderLock.acquire(folder)
            catchStorageErrors(folder) { openLocked(folder, host, disk, lock, incarnations) }
                .getOrElse {
                    lock.close()
                    throw StorageException(it)
                }
        }

        private fun openLocked(
            folder: Path,
            host: HostName,
            disk: Disk,
            lock: FolderLock,
            incarnations: () -> Long,
        ): OpenedLog {
            val files = LogFiles(folder)
            val identity = readIdentity(folder, host)
                ?: createAfterLostDisk(files, ReplicaIdentity.afterLostDisk(host, incarnations()), disk)
            val (snapshot, state, newestSegment) = files.recover()
            val store = LogStore(files, disk, lock, state, newestSegment)
            if (newestSegment.snapshotIndex < state.snapshotIndex) store.beginSegmentAfterSnapshot()
            files.removeBefore(state.snapshotIndex)
            val recovered = RecoveredLog(state.term, state.votedFor, snapshot, state.entries.toList())
            return OpenedLog(store, identity.replica, recovered)
        }

        private fun createAfterLostDisk(files: LogFiles, identity: ReplicaIdentity, disk: Disk): ReplicaIdentity {
            if (files.hasLog()) throw corrupt(files.folder, 0, "there is a log, but no identity file")
            return create(files.folder, identity, disk)
        }

        // The segment is created first, so that an identity without a segment means that the log was removed.
        private fun create(folder: Path, identity: ReplicaIdentity, disk: Disk): ReplicaIdentity {
            disk.createAtomically(LogFiles(folder).segment(snapshotIndex = 0, sequence = 0).file, ByteArray(0))
            disk.writeIdentity(folder, identity)
            return identity
        }
    }
}
