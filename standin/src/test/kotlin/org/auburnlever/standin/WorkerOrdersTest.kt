package org.auburnlever.standin

import org.auburnlever.wire.TaskOrder
import org.auburnlever.wire.TaskStatus
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class WorkerOrdersTest {
    private val longRun = """{"runMillis":5000}"""

    @Test
    fun `an order with an older token is ignored, so that a deposed leader cannot start a task`() {
        val state = worker()
            .afterAnswer(0, 0, reserve(7))
            .afterAnswer(1, 1, start(6), reserve(6), stop(6), sequence = 2)
        assertEquals(7, state.tasks.values.single().order.token)
        assertEquals(TaskStatus.RESERVED, state.taskStatus())
    }

    @Test
    fun `an order with a newer token stops the tasks of an earlier placement of the job`() {
        val earlier = TaskOrder.Reserve("job", 1, 1, 2, "simulate", listOf(0), 1, 1, longRun, fromCheckpoint = false)
        val running = worker().afterAnswer(0, 0, earlier, TaskOrder.Start("job", 1, 1))
        val state = running.afterAnswer(1, 1, reserve(2, accelerators = listOf(0)), sequence = 2)
        assertEquals(TaskStatus.STOPPED, state.tasks.getValue(TaskId("job", 1)).status)
        assertEquals(TaskStatus.RESERVED, state.taskStatus())
    }

    @Test
    fun `a reserved task does not run before its start order`() {
        val state = worker().afterAnswer(0, 0, reserve(1)).afterTick(9_000)
        assertEquals(TaskStatus.RESERVED, state.taskStatus())
    }

    @Test
    fun `repeated orders change nothing, so that a lost answer does no harm`() {
        val once = worker().afterAnswer(0, 0, reserve(1, payload = longRun), start(1))
        val twice = once.afterAnswer(1, 1_000, reserve(1, payload = longRun), start(1), sequence = 2)
        assertEquals(once.tasks, twice.tasks)
    }

    @Test
    fun `an ended task is reported until a forget order removes it`() {
        val completed = worker().afterAnswer(0, 0, reserve(1), start(1)).afterTick(5)
        assertEquals(TaskStatus.COMPLETED, completed.nextHeartbeat(6).second.tasks.single().status)
        assertEquals(TaskStatus.COMPLETED, completed.nextHeartbeat(900).second.tasks.single().status)
        assertNull(completed.afterAnswer(1_000, 1_010, forget(1), sequence = 2).taskStatus())
    }

    @Test
    fun `a forget order does not remove a running task`() {
        val running = worker().afterAnswer(0, 0, reserve(1, payload = longRun), start(1))
        assertEquals(TaskStatus.RUNNING, running.afterAnswer(1, 1, forget(1), sequence = 2).taskStatus())
    }

    @Test
    fun `a task of a second job fails if it needs accelerators in use`() {
        val state = worker().afterAnswer(0, 0, reserve(1), reserve(2, accelerators = listOf(1, 2), job = "other"))
        assertEquals(TaskStatus.FAILED, state.taskStatus("other"))
    }

    @Test
    fun `a stop order waits for the checkpoint but not longer than the grace period`() {
        val order = reserve(1, payload = """{"runMillis":9000,"checkpointEveryMillis":1000}""")
        val running = worker().afterAnswer(0, 0, order, start(1))
        val stopping = running.afterAnswer(1, 100, stop(1), sequence = 2)
        assertEquals(TaskStatus.RUNNING, stopping.afterTick(599).taskStatus())
        assertEquals(TaskStatus.STOPPED, stopping.afterTick(600).taskStatus())
        val shortGrace = running.afterAnswer(1, 100, stop(1, graceMillis = 50), sequence = 2)
        assertEquals(TaskStatus.STOPPED, shortGrace.afterTick(150).taskStatus())
    }

    @Test
    fun `a task whose reserve order was lost is reported as stopped and cannot be reserved afterwards`() {
        val state = worker().afterAnswer(0, 0, stop(4))
        assertEquals(TaskStatus.STOPPED, state.taskStatus())
        assertEquals(TaskStatus.STOPPED, state.afterAnswer(1, 1, reserve(4), sequence = 2).taskStatus())
    }

    @Test
    fun `the rest of a throttled task takes longer in proportion`() {
        val running = worker().afterAnswer(0, 0, reserve(1, payload = """{"runMillis":4000}"""), start(1))
        val throttled = running.afterAnswer(1, 1_000, TaskOrder.Throttle("job", 0, 1, milliCores = 2_000), sequence = 2)
        assertEquals(7_000, throttled.tasks.values.single().endsAtMillis)
    }

    @Test
    fun `a worker that is set to fail every task fails it at its start`() {
        val failing = worker().copy(behaviour = WorkerBehaviour(failAll = true)).afterAnswer(0, 0, reserve(1), start(1))
        assertEquals(TaskStatus.FAILED, failing.taskStatus())
    }
}
