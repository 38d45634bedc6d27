package org.auburnlever.storage

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import org.auburnlever.codec.Bytes
import org.auburnlever.consensus.DurableWrite
import org.auburnlever.consensus.EntryPayload
import org.auburnlever.consensus.LogEntry
import org.auburnlever.consensus.Membership
import org.auburnlever.consensus.RecoveredLog
import org.auburnlever.consensus.ReplicaId
import org.auburnlever.consensus.ReplicaRole
import org.auburnlever.consensus.Snapshot
import org.auburnlever.model.HostName
import org.junit.jupiter.api.io.TempDir
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.name
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class LogStoreTest {
    @TempDir
    lateinit var folder: Path

    private val host = HostName("thies-a-1")
    private val replica = ReplicaId(host, incarnation = 1)
    private val vote = DurableWrite.Vote(3, replica)

    /** Guards against entries, votes or truncations that are lost in a restart. */
    @Test
    fun `a reopened store returns what was written`() {
        format()
        val truncating = DurableWrite.Append(listOf(entry(2, term = 3)))
        withOpenStore { assertEquals(Ok(Unit), it.store.write(listOf(vote, append(1..3), truncating))) }
        assertEquals(RecoveredLog(3, replica, null, listOf(entry(1), entry(2, term = 3))), recovered())
    }

    /** Guards against a restart that, after many snapshots, reads entries twice or not at all. */
    @Test
    fun `after hundreds of batches and snapshots the newest state is read and old files are gone`() {
        format()
        withOpenStore { opened ->
            opened.store.write(listOf(vote))
            for (index in 1..600) {
                opened.store.write(listOf(append(index..index)))
                if (index % 100 == 50) opened.store.write(listOf(DurableWrite.Install(snapshot(index - 2L))))
            }
        }
        val expected = RecoveredLog(3, replica, snapshot(548), (549..600).map { entry(it.toLong()) })
        assertEquals(expected, recovered())
        assertEquals(1, files("log-").size)
        assertEquals(1, files("snapshot-").size)
    }

    /** Guards against keeping entries of a diverging log after a snapshot received from the leader. */
    @Test
    fun `a snapshot with another term at its last index drops the stored entries`() {
        format()
        withOpenStore { it.store.write(listOf(append(1..9))) }
        withOpenStore { it.store.write(listOf(DurableWrite.Install(snapshot(5).copy(lastTerm = 2)))) }
        assertEquals(emptyList(), recovered().entries)
    }

    /** Guards against entries lost by a crash between storing a snapshot and creating the segment that follows it. */
    @Test
    fun `a snapshot without its segment is combined with the older segment`() {
        format()
        withOpenStore { it.store.write(listOf(vote, append(1..9))) }
        SystemDisk.writeSnapshot(LogFiles(folder).snapshot(5), snapshot(5))
        repeat(2) { assertEquals(RecoveredLog(3, replica, snapshot(5), (6L..9L).map { entry(it) }), recovered()) }
        assertTrue(files("log-").single().name.contains("5-"))
    }

    /** Guards against a store that fails to open, or returns part of a record, after a crash during a write. */
    @Test
    fun `a torn last record is cut off at every length`() {
        format()
        withOpenStore { it.store.write(listOf(append(1..1))) }
        val segment = files("log-").single()
        val complete = Files.readAllBytes(segment)
        withOpenStore { it.store.write(listOf(append(2..2))) }
        val longer = Files.readAllBytes(segment)
        for (size in complete.size until longer.size) {
            Files.write(segment, longer.copyOf(size))
            assertEquals(listOf(entry(1)), recovered().entries, "file of $size bytes")
            assertEquals(complete.size.toLong(), Files.size(segment))
        }
        withOpenStore { it.store.write(listOf(append(2..2))) }
        assertEquals(listOf(entry(1), entry(2)), recovered().entries)
    }

    /** Guards against silently dropping synced entries that follow a damaged record. */
    @Test
    fun `damage before the last record stops the start with file and offset`() {
        format()
        withOpenStore { opened -> (1..3).forEach { opened.store.write(listOf(append(it..it))) } }
        val segment = files("log-").single()
        val intact = Files.readAllBytes(segment)
        val recordBytes = intact.size / 3
        for (position in 0 until 2 * recordBytes) {
            Files.write(segment, intact.copyOf().also { it[position] = (it[position] + 1).toByte() })
            val error = assertIs<StorageError.Corrupt>(open().getError(), "byte $position")
            assertEquals(segment, error.file)
            assertEquals((position / recordBytes * recordBytes).toLong(), error.offsetBytes)
        }
    }

    /** Guards against accepting a torn record although a later segment shows that it was once complete. */
    @Test
    fun `a long log continues in a second segment, and the first must be complete`() {
        format()
        val large = EntryPayload.Command(Bytes(ByteArray(1_024 * 1_024)))
        val writes = (1L..9).map { DurableWrite.Append(listOf(LogEntry(it, 1, large))) }
        withOpenStore { opened -> writes.forEach { opened.store.write(listOf(it)) } }
        val (first, second) = files("log-").sorted()
        assertEquals((1L..9).toList(), recovered().entries.map { it.index })
        Files.write(first, Files.readAllBytes(first).let { it.copyOf(it.size - 1) })
        assertEquals(first, assertIs<StorageError.Corrupt>(open().getError()).file)
        Files.delete(first)
        assertEquals(first, assertIs<StorageError.Corrupt>(open().getError()).file)
        assertTrue(Files.exists(second))
    }

    /** Guards against restoring a state machine or an identity from damaged bytes. */
    @Test
    fun `a store with a damaged snapshot or identity does not open`() {
        format()
        withOpenStore { it.store.write(listOf(append(1..9), DurableWrite.Install(snapshot(5)))) }
        for (file in listOf("snapshot-", "identity").map { files(it).single() }) {
            val intact = Files.readAllBytes(file)
            for (position in intact.indices) {
                Files.write(file, intact.copyOf().also { it[position] = (it[position] + 1).toByte() })
                assertEquals(file, assertIs<StorageError.Corrupt>(open().getError(), "byte $position").file)
            }
            Files.write(file, intact)
        }
        assertEquals(snapshot(5), recovered().snapshot)
    }

    /** Guards against taking a removed file for an empty log: the replica could then vote a second time in a term. */
    @Test
    fun `a store with a missing file does not open`() {
        format()
        withOpenStore { it.store.write(listOf(vote, append(1..9), DurableWrite.Install(snapshot(5)))) }
        val names = listOf("log-", "snapshot-", "identity")
        for (file in names.map { files(it).single() }) {
            val content = Files.readAllBytes(file)
            Files.delete(file)
            assertIs<StorageError.Corrupt>(open().getError(), "without $file")
            Files.write(file, content)
        }
        assertEquals(4, recovered().entries.size)
    }

    /** Guards against a replica that lost its disk and starts with its old identity. */
    @Test
    fun `an empty folder that was not formatted gets a new incarnation and keeps it`() {
        val first = withOpenStore { it.replica }
        assertTrue(first.incarnation > 1)
        assertEquals(first, withOpenStore { it.replica })
        assertIs<StorageError.AlreadyFormatted>(LogStore.format(folder, host).getError())
    }

    /** Guards against two processes that append to the same segment. */
    @Test
    fun `a folder is opened once, and only for its host`() {
        format()
        withOpenStore { assertEquals(StorageError.FolderLocked(folder), open().getError()) }
        assertIs<StorageError.WrongHost>(LogStore.open(folder, HostName("other")).getError())
        assertEquals(replica, withOpenStore { it.replica })
    }

    /** Guards against a store that continues after a failed write and acknowledges data that is not on the disk. */
    @Test
    fun `a full disk and a failed sync are errors, after which nothing is written`() {
        val cases = mapOf(
            FailingDisk(failAppends = true, "No space left on device") to StorageError.DiskFull(folder),
            FailingDisk(failAppends = false, "Input/output error") to
                StorageError.AccessFailed(folder, "IOException: Input/output error"),
        )
        format()
        for ((disk, expected) in cases) {
            val opened = LogStore.open(folder, host, disk).getOrElse { error(it.message) }
            opened.store.use { store ->
                disk.failing = true
                assertEquals(expected, store.write(listOf(vote)).getError())
                disk.failing = false
                assertEquals(StorageError.Unusable(expected), store.write(listOf(vote)).getError())
            }
        }
    }

    /** Guards against a failure between two steps of a write that leaves files which can't be opened. */
    @Test
    fun `after a failure of any operation the store holds all finished writes`() {
        val batches = listOf(
            listOf(vote, append(1..4)),
            listOf(append(5..8), DurableWrite.Install(snapshot(6)), append(9..9)),
            listOf(DurableWrite.Install(snapshot(9)), append(10..11)),
        )
        val lastIndices = listOf(0, 4, 9, 11)
        for (operations in 0..20) {
            val replicaFolder = folder.resolve("$operations")
            LogStore.format(replicaFolder, host)
            val disk = FailingDisk(failAppends = true, "Input/output error").also { it.failAfter(operations) }
            val written = LogStore.open(replicaFolder, host, disk).getOrElse { error(it.message) }.store.use { store ->
                batches.takeWhile { store.write(it) == Ok(Unit) }.size
            }
            val reopened = LogStore.open(replicaFolder, host).getOrElse { error(it.message) }
            reopened.store.close()
            val recovered = reopened.recovered
            val last = recovered.entries.lastOrNull()?.index ?: recovered.snapshot?.lastIndex ?: 0
            assertTrue(last >= lastIndices[written], "entry $last after $written batches, $operations operations")
            assertEquals(if (written > 0) vote.term else recovered.term, recovered.term)
        }
    }

    private fun format() = assertEquals(Ok(replica), LogStore.format(folder, host))

    private fun open() = LogStore.open(folder, host)

    private fun <T> withOpenStore(block: (OpenedLog) -> T): T {
        val opened = open().getOrElse { error(it.message) }
        return opened.store.use { block(opened) }
    }

    private fun recovered(): RecoveredLog = withOpenStore { it.recovered }

    private fun files(prefix: String): List<Path> = folder.listDirectoryEntries("$prefix*")

    private fun entry(index: Long, term: Long = 1) = LogEntry(index, term, EntryPayload.Command(Bytes.of("c$index")))

    private fun append(indices: IntRange) = DurableWrite.Append(indices.map { entry(it.toLong()) })

    private fun snapshot(lastIndex: Long) =
        Snapshot(lastIndex, 1, Membership(mapOf(replica to ReplicaRole.VOTER)), Bytes.of("state at $lastIndex"))
}

/** Fails appends or syncs while [failing], and all operations after the number given to [failAfter]. */
private class FailingDisk(private val failAppends: Boolean, private val message: String) : Disk {
    var failing = false
    private var remaining = Int.MAX_VALUE

    fun failAfter(operations: Int) {
        remaining = operations
    }

    override fun open(file: Path): AppendFile {
        val delegate = SystemDisk.open(file)
        return object : AppendFile by delegate {
            override fun append(bytes: ByteArray) = failIf(failAppends) { delegate.append(bytes) }

            override fun sync() = failIf(!failAppends) { delegate.sync() }
        }
    }

    private fun failIf(affected: Boolean, action: () -> Unit) {
        if (failing && affected || remaining-- <= 0) throw IOException(message)
        action()
    }
}
