package org.auburnlever.storage

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.getOrElse
import org.auburnlever.codec.Bytes
import org.auburnlever.consensus.DurableWrite
import org.auburnlever.consensus.EntryPayload
import org.auburnlever.consensus.LogEntry
import org.auburnlever.model.HostName
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.system.measureNanoTime
import kotlin.test.Test
import kotlin.test.assertEquals

private const val WARM_UP_BATCHES = 200
private const val BATCHES = 400
private const val ENTRIES_PER_BATCH = 10
private const val COMMAND_BYTES = 200
private const val NANOS_PER_SECOND = 1e9

class SyncRateTest {
    @TempDir
    lateinit var folder: Path

    /** Prints the store's sync rate next to that of the plain disk; does not check it, since it depends on the disk. */
    @Test
    fun `measure synced batches per second against the raw sync rate`() {
        val host = HostName("thies-a-1")
        LogStore.format(folder.resolve("log"), host)
        val store = LogStore.open(folder.resolve("log"), host).getOrElse { error(it.message) }.store
        val rawFile = SystemDisk.open(folder.resolve("raw"))
        repeat(WARM_UP_BATCHES) { store.write(listOf(DurableWrite.Append(entries(it)))) }
        var stored = 0.0
        var raw = 0.0
        // Alternates which one goes first, so that disk load and the file system's journal affect both equally.
        for (round in WARM_UP_BATCHES until WARM_UP_BATCHES + BATCHES) {
            val batch = listOf(DurableWrite.Append(entries(round)))
            val bytes = ByteArray(encodeBatch(batch).size)
            if (round % 2 == 0) raw += rawFile.timeOf(bytes)
            stored += measureNanoTime { assertEquals(Ok(Unit), store.write(batch)) }
            if (round % 2 == 1) raw += rawFile.timeOf(bytes)
        }
        println("store: ${rate(stored)} batches/s of $ENTRIES_PER_BATCH entries, raw: ${rate(raw)} syncs/s")
        rawFile.close()
        store.close()
    }

    private fun AppendFile.timeOf(bytes: ByteArray): Long = measureNanoTime {
        append(bytes)
        sync()
    }

    private fun rate(nanos: Double): Int = (BATCHES * NANOS_PER_SECOND / nanos).toInt()

    private fun entries(round: Int): List<LogEntry> = List(ENTRIES_PER_BATCH) {
        val index = 1L + round * ENTRIES_PER_BATCH + it
        LogEntry(index, 1, EntryPayload.Command(Bytes(ByteArray(COMMAND_BYTES))))
    }
}
