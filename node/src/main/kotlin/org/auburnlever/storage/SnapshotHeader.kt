package org.auburnlever.storage

import kotlinx.serialization.Serializable
import org.auburnlever.codec.Bytes
import org.auburnlever.consensus.Membership
import org.auburnlever.consensus.Snapshot
import java.nio.file.Files

// A snapshot file holds two frames: the header and the state.
private const val SNAPSHOT_FRAMES = 2

/**
 * A [Snapshot] without its state.
 *
 * The state is stored as raw bytes in a frame of its own: encoding it again would need several copies in memory.
 */
@Serializable
internal data class SnapshotHeader(val lastIndex: Long, val lastTerm: Long, val membership: Membership)

internal fun Disk.writeSnapshot(file: SnapshotFile, snapshot: Snapshot) {
    val header = encodeRecord(SnapshotHeader(snapshot.lastIndex, snapshot.lastTerm, snapshot.membership))
    val state = snapshot.state.toByteArray()
    createAtomically(file.file, header, frameHeaderOf(state), state)
}

internal fun readSnapshot(file: SnapshotFile): Snapshot {
    val payloads = readFrames(file.file, Files.readAllBytes(file.file), mayBeTorn = false).payloads
    if (payloads.size != SNAPSHOT_FRAMES) {
        throw corrupt(file.file, 0, "expected $SNAPSHOT_FRAMES records, found ${payloads.size}")
    }
    val header = decodePayload<SnapshotHeader>(file.file, payloads.first())
    if (header.lastIndex != file.lastIndex) {
        throw corrupt(file.file, 0, "the header has last index ${header.lastIndex}, unlike the file name")
    }
    return Snapshot(header.lastIndex, header.lastTerm, header.membership, Bytes(payloads.last()))
}
