package org.auburnlever.storage

import org.auburnlever.consensus.DurableWrite
import org.auburnlever.consensus.Snapshot
import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.StandardOpenOption

/** What recovery read: the snapshot, the state with the entries after it, and the segment to append to. */
internal data class RecoveredFiles(val snapshot: Snapshot?, val state: PersistentState, val newestSegment: SegmentFile)

/**
 * Reads the newest snapshot and the segments that follow it.
 *
 * A torn write at the end of the last segment is cut off; any other damage and missing files are errors.
 */
internal fun LogFiles.recover(): RecoveredFiles {
    val snapshot = snapshots().lastOrNull()?.let { readSnapshot(it) }
    val snapshotIndex = snapshot?.lastIndex ?: 0
    val newestSegments = newestSegments(snapshotIndex)
    val state = PersistentState(newestSegments.last().snapshotIndex)
    newestSegments.forEach { replay(it, state, isLast = it == newestSegments.last()) }
    // The process stopped between storing the snapshot and creating the segment that follows it.
    if (snapshot != null && state.snapshotIndex < snapshotIndex) state.install(snapshotIndex, snapshot.lastTerm)
    return RecoveredFiles(snapshot, state, newestSegments.last())
}

private fun LogFiles.newestSegments(snapshotIndex: Long): List<SegmentFile> {
    val newestIndex = segments().lastOrNull()?.snapshotIndex ?: snapshotIndex
    val newestSegments = segments().filter { it.snapshotIndex == newestIndex }
    val complete = (0..maxOf(0, newestSegments.lastIndex)).map { segment(newestIndex, it.toLong()) }
    val missingSegment = complete.firstOrNull { it !in newestSegments }?.file
    val missing = if (newestIndex > snapshotIndex) snapshot(newestIndex).file else missingSegment
    if (missing != null) throw corrupt(missing, 0, "the file is missing")
    return newestSegments
}

private fun replay(segment: SegmentFile, state: PersistentState, isLast: Boolean) {
    val bytes = Files.readAllBytes(segment.file)
    val frames = readFrames(segment.file, bytes, mayBeTorn = isLast)
    var offset = 0L
    for (payload in frames.payloads) {
        val writes = decodePayload<List<DurableWrite>>(segment.file, payload)
        try {
            writes.forEach(state::apply)
        } catch (failure: IllegalArgumentException) {
            throw corrupt(segment.file, offset, failure.message.orEmpty()).apply { initCause(failure) }
        }
        offset += frameOf(payload).size
    }
    if (frames.validBytes < bytes.size) truncate(segment, frames.validBytes)
}

private fun truncate(segment: SegmentFile, sizeBytes: Long) =
    FileChannel.open(segment.file, StandardOpenOption.WRITE).use {
        it.truncate(sizeBytes)
        it.force(true)
    }
