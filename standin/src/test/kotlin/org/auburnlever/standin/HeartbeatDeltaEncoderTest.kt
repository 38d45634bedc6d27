package org.auburnlever.standin

import org.auburnlever.codec.Codec
import org.auburnlever.ledger.LastHeartbeat
import org.auburnlever.ledger.LeaderState
import org.auburnlever.ledger.complete
import org.auburnlever.wire.HeartbeatReply
import org.auburnlever.wire.TaskReport
import org.auburnlever.wire.TaskStatus
import org.auburnlever.wire.WorkerHeartbeat
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class HeartbeatDeltaEncoderTest {
    private val reply = HeartbeatReply(leaseMillis = 10_000, orders = emptyList())

    private fun emptyHeartbeat() = worker().nextHeartbeat(nowMillis = 0).second

    private fun task(index: Int) = TaskReport("job", index, token = 1, TaskStatus.RUNNING, usedMilliCores = 1_000)

    /** Guards against heartbeats that list unchanged tasks each second, which was 3 KB/s for a busy worker. */
    @Test
    fun `a heartbeat lists no tasks if none changed since the base`() {
        val tasks = List(17) { task(it) }
        val (encoder, first) = HeartbeatDeltaEncoder()
            .encode(emptyHeartbeat().copy(sequence = 1, tasks = tasks), nowMillis = 0)
        assertEquals(tasks, first.tasks)
        val (_, second) = encoder.withReply(1, reply)
            .encode(emptyHeartbeat().copy(sequence = 2, tasks = tasks), nowMillis = 1_000)
        assertEquals(emptyList(), second.tasks)
        assertEquals(1, second.basedOn)
    }

    /** The limit of 3 KB/s applies to a node; an entry host forwards each heartbeat once inside its failure domain. */
    @Test
    fun `a busy worker and the forwarding of its heartbeats stay below 3 KB a second`() {
        val tasks = List(17) { task(it) }
        var encoder = HeartbeatDeltaEncoder()
        val bytes = (1L..HEARTBEATS).sumOf { sequence ->
            val (next, heartbeat) = encoder
                .encode(emptyHeartbeat().copy(sequence = sequence, tasks = tasks), sequence * 1_000)
            encoder = next.withReply(sequence, reply)
            Codec.json.encodeToString(WorkerHeartbeat.serializer(), heartbeat).length
        }
        val withoutTasks = Codec.json.encodeToString(WorkerHeartbeat.serializer(), emptyHeartbeat()).length
        val taskBytes = bytes / HEARTBEATS - withoutTasks
        println("17 tasks add $taskBytes bytes a second to a heartbeat of $withoutTasks bytes")

        assertTrue(2 * (WORKER_WITHOUT_TASKS_BYTES + taskBytes) < MAX_BYTES_PER_SECOND)
    }

    /** Guards against a new leader that never receives a complete list of the tasks. */
    @Test
    fun `a heartbeat lists all tasks after the leader asked for them`() {
        val tasks = listOf(task(0))
        val (encoder, _) = HeartbeatDeltaEncoder()
            .encode(emptyHeartbeat().copy(sequence = 1, tasks = tasks), nowMillis = 0)
        val (next, delta) = encoder.withReply(1, reply)
            .encode(emptyHeartbeat().copy(sequence = 2, tasks = tasks), 1_000)
        assertEquals(1, delta.basedOn)
        val completeRequested = HeartbeatReply(leaseMillis = 0, orders = emptyList(), completeWanted = true)
        val (_, complete) = next.withReply(2, completeRequested)
            .encode(emptyHeartbeat().copy(sequence = 3, tasks = tasks), 1_100)
        assertEquals(null, complete.basedOn)
        assertEquals(tasks, complete.tasks)
    }

    /**
     * Guards against a leader whose view of a worker drifts from its tasks while heartbeats and answers are lost and
     * leaders change.
     */
    @Test
    fun `a heartbeat that the leader completes equals the full one`() {
        repeat(SCHEDULES) { seed -> FaultSchedule(Random(seed)).run() }
    }

    private inner class FaultSchedule(private val random: Random) {
        private var encoder = HeartbeatDeltaEncoder()
        private var leader = LeaderState(electedMillis = 0)
        private var tasks = emptyMap<Int, TaskReport>()

        fun run() {
            var completed = 0
            for (sequence in 1L..STEPS) {
                changeTasks()
                val full = emptyHeartbeat().copy(sequence = sequence, tasks = tasks.values.toList())
                val (next, heartbeat) = encoder.encode(full, sequence)
                encoder = next
                if (random.nextInt(PERCENT) < LOSS_PERCENT) continue
                if (random.nextInt(PERCENT) < ELECTION_PERCENT) leader = LeaderState(electedMillis = sequence)
                if (receive(full, heartbeat, sequence)) completed++
            }
            assertTrue(completed > STEPS / 2)
        }

        private fun receive(full: WorkerHeartbeat, heartbeat: WorkerHeartbeat, nowMillis: Long): Boolean {
            val complete = leader.complete(heartbeat, nowMillis)
            if (complete == null) {
                encoder = encoder.withReply(full.sequence, reply.copy(leaseMillis = 0, completeWanted = true))
                return false
            }
            assertEquals(full.tasks.toSet(), complete.tasks.toSet(), "heartbeat ${full.sequence}")
            val last = LastHeartbeat(nowMillis, full.epochMillis, full.sequence, complete.tasks)
            leader = leader.copy(workers = leader.workers.put(full.worker, last))
            if (random.nextInt(PERCENT) >= LOSS_PERCENT) encoder = encoder.withReply(full.sequence, reply)
            return true
        }

        private fun changeTasks() = repeat(random.nextInt(3)) {
            val index = random.nextInt(TASKS)
            tasks = when (random.nextInt(3)) {
                0 -> tasks - index
                1 -> tasks + (index to task(index))
                else -> tasks + (index to task(index).copy(status = TaskStatus.STOPPED))
            }
        }
    }

    private companion object {
        const val HEARTBEATS = 60L

        /** Bytes a second in both directions, as measured in `docs/CAPACITY.md`. */
        const val WORKER_WITHOUT_TASKS_BYTES = 628
        const val MAX_BYTES_PER_SECOND = 3_000
        const val SCHEDULES = 200
        const val STEPS = 60L
        const val TASKS = 6
        const val PERCENT = 100
        const val LOSS_PERCENT = 20
        const val ELECTION_PERCENT = 8
    }
}
