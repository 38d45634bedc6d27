package org.auburnlever.storage

import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.name

private const val NUMBER_DIGITS = 19
private val SEGMENT_NAME = Regex("log-(\\d{$NUMBER_DIGITS})-(\\d{$NUMBER_DIGITS})")
private val SNAPSHOT_NAME = Regex("snapshot-(\\d{$NUMBER_DIGITS})")

/** A log segment after the snapshot at [snapshotIndex]; segments after the same snapshot are ordered by [sequence]. */
internal data class SegmentFile(val file: Path, val snapshotIndex: Long, val sequence: Long)

/** A snapshot file whose last included entry is [lastIndex]. */
internal data class SnapshotFile(val file: Path, val lastIndex: Long)

/** Names, lists and removes the files in a replica's folder. */
internal class LogFiles(val folder: Path) {
    fun segment(snapshotIndex: Long, sequence: Long) =
        SegmentFile(folder.resolve("log-${snapshotIndex.padded()}-${sequence.padded()}"), snapshotIndex, sequence)

    fun snapshot(lastIndex: Long) = SnapshotFile(folder.resolve("snapshot-${lastIndex.padded()}"), lastIndex)

    /** Returns all segments, ordered by snapshot index and sequence. */
    fun segments(): List<SegmentFile> = matching(SEGMENT_NAME) { file, numbers ->
        SegmentFile(file, numbers.first(), numbers.last())
    }.sortedWith(compareBy({ it.snapshotIndex }, { it.sequence }))

    /** Returns all snapshots, ordered by last index. */
    fun snapshots(): List<SnapshotFile> =
        matching(SNAPSHOT_NAME) { file, numbers -> SnapshotFile(file, numbers.single()) }.sortedBy { it.lastIndex }

    /** Whether the folder holds a snapshot or a segment that is not empty. */
    fun hasLog(): Boolean = snapshots().isNotEmpty() || segments().any { Files.size(it.file) > 0 }

    /** Removes segments and snapshots older than the snapshot at [snapshotIndex], and temporary files. */
    fun removeBefore(snapshotIndex: Long) {
        segments().filter { it.snapshotIndex < snapshotIndex }.forEach { Files.delete(it.file) }
        snapshots().filter { it.lastIndex < snapshotIndex }.forEach { Files.delete(it.file) }
        folder.listDirectoryEntries("*$TEMPORARY_SUFFIX").forEach { Files.delete(it) }
    }

    private fun <T> matching(pattern: Regex, create: (Path, List<Long>) -> T): List<T> =
        folder.listDirectoryEntries().mapNotNull { file ->
            pattern.matchEntire(file.name)?.let { match -> create(file, match.groupValues.drop(1).map { it.toLong() }) }
        }

    private fun Long.padded(): String = toString().padStart(NUMBER_DIGITS, '0')
}
