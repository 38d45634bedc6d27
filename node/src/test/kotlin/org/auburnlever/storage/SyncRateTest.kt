package org.auburnlever.storage

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.getOrElse
import org.auburnlever.codec.Bytes
import org.auburnlever.consensus.DurableWrite
import org.auburnlever.consensus.EntryPayload
import org.auburnlever.consensus.LogEntry
import org.auburnlever.world.HostName
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.system.measureNanoTime
import kotlin.test.Test
import kotlin.test.assertEquals

private const val BATCHES = 300
private const val ENTRIES_PER_BATCH = 10
private const val COMMAND_BYTES = 200
private const val NANOS_PER_SECOND = 1e9

class SyncRateTest {
    @TempDir
    lateinit var folder: Path

    /** Prints how much of the disk's sync rate the store reaches; a disk's speed is no reason to fail. */
    @Test
    fun `measure synced batches per second against the raw sync rate`() {
        val host = HostName("thies-a-1")
        LogStore.format(folder.resolve("log"), host)
        val store = LogStore.open(folder.resolve("log"), host).getOrElse { error(it.message) }.store
        var stored = 0.0
        var raw = 0.0
        val rawFile = SystemDisk.open(folder.resolve("raw"))
        // Alternates both, so that other load on the disk concerns them equally.
        for (round in 0 until BATCHES) {
            val batch = listOf(DurableWrite.Append(entries(round)))
            stored += measureNanoTime { assertEquals(Ok(Unit), store.write(batch)) }
            val bytes = ByteArray(encodeRecord(batch).size)
            raw += measureNanoTime {
                rawFile.append(bytes)
                rawFile.sync()
            }
        }
        println("store: ${rate(stored)} batches/s of $ENTRIES_PER_BATCH entries, raw: ${rate(raw)} syncs/s")
        rawFile.close()
        store.close()
    }

    private fun rate(nanos: Double): Int = (BATCHES * NANOS_PER_SECOND / nanos).toInt()

    private fun entries(round: Int): List<LogEntry> = List(ENTRIES_PER_BATCH) {
        val index = 1L + round * ENTRIES_PER_BATCH + it
        LogEntry(index, 1, EntryPayload.Command(Bytes(ByteArray(COMMAND_BYTES))))
    }
}
