package org.auburnlever.ledger

import org.auburnlever.model.DomainName
import org.auburnlever.model.RackName
import org.auburnlever.model.WorkerName
import org.auburnlever.wire.DroppedTask
import org.auburnlever.wire.TaskReport
import org.auburnlever.wire.TaskStatus
import org.auburnlever.wire.WorkerHeartbeat
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class CompleteHeartbeatTest {
    private val running = TaskReport("job-a", 0, 5, TaskStatus.RUNNING, usedMilliCores = 900, checkpointAgeMillis = 200)
    private val other = TaskReport("job-b", 1, 6, TaskStatus.RUNNING)

    private fun heartbeat(sequence: Long, tasks: List<TaskReport>, basedOn: Long? = null) = WorkerHeartbeat(
        worker = WorkerName("w0"),
        failureDomain = DomainName("thies-a"),
        rack = RackName("rack-0"),
        positionInRack = 0,
        epochMillis = 1,
        sequence = sequence,
        acceleratorCount = 8,
        cores = 128,
        memoryMiB = 512,
        tasks = tasks,
        basedOn = basedOn,
    )

    private fun leaderAfter(heartbeat: WorkerHeartbeat): LeaderState {
        val last = LastHeartbeat(atMillis = 1_000, heartbeat.epochMillis, heartbeat.sequence, heartbeat.tasks)
        val leader = LeaderState(electedMillis = 0)
        return leader.copy(workers = leader.workers.put(heartbeat.worker, last))
    }

    /** Guards against tasks that count as missing because a heartbeat lists only the changed ones. */
    @Test
    fun `unchanged tasks are taken from the previous heartbeat`() {
        val leader = leaderAfter(heartbeat(3, listOf(running, other)))
        val ended = other.copy(status = TaskStatus.COMPLETED, result = "r")
        val complete = leader.complete(heartbeat(4, listOf(ended), basedOn = 3), nowMillis = 1_700)
        assertEquals(listOf(running.copy(checkpointAgeMillis = 900), ended), complete?.tasks)
        assertNull(complete?.basedOn)
    }

    /** Guards against a leader that keeps sending forget orders for a task that the worker has dropped. */
    @Test
    fun `dropped tasks are no longer listed`() {
        val leader = leaderAfter(heartbeat(3, listOf(running, other)))
        val dropping = heartbeat(4, emptyList(), basedOn = 3).copy(dropped = listOf(DroppedTask("job-a", 0, 5)))
        assertEquals(listOf(other), leader.complete(dropping, nowMillis = 1_000)?.tasks)
    }

    /** Guards against a new leader that treats a reduced list as a complete one and stops the jobs of omitted tasks. */
    @Test
    fun `a heartbeat with an unknown base is not completed`() {
        val reduced = heartbeat(4, emptyList(), basedOn = 3)
        assertNull(LeaderState(electedMillis = 0).complete(reduced, nowMillis = 0))
        assertNull(leaderAfter(heartbeat(2, listOf(running))).complete(reduced, nowMillis = 0))
        val restarted = reduced.copy(epochMillis = 2)
        assertNull(leaderAfter(heartbeat(3, listOf(running))).complete(restarted, nowMillis = 0))
    }

    /** Guards against stale reports when a later heartbeat arrived while the answer to the base was on its way. */
    @Test
    fun `a listed report replaces one from a heartbeat after the base`() {
        val ended = other.copy(status = TaskStatus.FAILED, error = "e")
        val leader = leaderAfter(heartbeat(4, listOf(running, ended)))
        val complete = leader.complete(heartbeat(5, listOf(ended), basedOn = 3), nowMillis = 1_000)
        assertEquals(listOf(running, ended), complete?.tasks)
    }
}
