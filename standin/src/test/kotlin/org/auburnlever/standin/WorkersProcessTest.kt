package org.auburnlever.standin

import com.linecorp.armeria.client.WebClient
import kotlinx.serialization.builtins.ListSerializer
import org.auburnlever.codec.Codec
import org.auburnlever.wire.TaskOrder
import org.auburnlever.wire.TaskStatus
import org.auburnlever.wire.WorkerHeartbeat
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class WorkersProcessTest {
    private val entryHost = FakeEntryHost()
    private val process = WorkersProcess(
        settings = listOf(worker().settings, worker().settings.copy(name = "worker-1")),
        entryAddresses = listOf("127.0.0.1:1", entryHost.address),
        token = "token",
        controlPort = 0,
        behaviour = WorkerBehaviour(),
    )

    @AfterTest
    fun close() {
        process.close()
        entryHost.close()
    }

    @Test
    fun `a worker obeys the orders of a task from reserve to forget, and its events show each status`() {
        entryHost.orders.set(::nextOrder)
        process.start()
        entryHost.await(entryHost.heartbeats) { it.isFirstWorker() && it.has(TaskStatus.COMPLETED) }
        entryHost.await(entryHost.heartbeats) { it.isFirstWorker() && it.tasks.isEmpty() }
        val json = WebClient.of("http://$LOOPBACK:${process.controlPort}").get("/control/events").aggregate().join()
        val events = Codec.json.decodeFromString(ListSerializer(TaskEvent.serializer()), json.contentUtf8())
        assertEquals(listOf(TaskStatus.RESERVED, TaskStatus.RUNNING, TaskStatus.COMPLETED), events.map { it.status })
        assertTrue(events.zipWithNext().all { (a, b) -> a.atMillis <= b.atMillis })
    }

    @Test
    fun `every worker of a process sends heartbeats`() {
        process.start()
        val seen = (0..1).map { index -> entryHost.await(entryHost.heartbeats) { it.worker.value == "worker-$index" } }
        assertEquals(setOf("worker-0", "worker-1"), seen.map { it.worker.value }.toSet())
    }

    private fun nextOrder(heartbeat: WorkerHeartbeat): List<TaskOrder> = when {
        !heartbeat.isFirstWorker() -> emptyList()
        heartbeat.has(TaskStatus.RESERVED) -> listOf(start(1))
        heartbeat.has(TaskStatus.COMPLETED) -> listOf(forget(1))
        heartbeat.tasks.isEmpty() && heartbeat.sequence < LAST_RESERVE -> listOf(reserve(1))
        else -> emptyList()
    }

    private fun WorkerHeartbeat.isFirstWorker(): Boolean = worker.value == "worker-0"

    private fun WorkerHeartbeat.has(status: TaskStatus): Boolean = tasks.any { it.status == status }

    private companion object {
        /**
         * Heartbeats without tasks before this sequence are answered with a reserve order. The first heartbeat fails,
         * since it goes to an address at which no host listens.
         */
        const val LAST_RESERVE = 3
    }
}
