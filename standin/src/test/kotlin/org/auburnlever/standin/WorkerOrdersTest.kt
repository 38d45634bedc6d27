package org.auburnlever.standin

import org.auburnlever.wire.TaskOrder
import org.auburnlever.wire.TaskStatus
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class WorkerOrdersTest {
    private val long = """{"runMillis":5000}"""

    @Test
    fun `an order with an older token is ignored, so that a deposed leader cannot start a task`() {
        val state = worker().answered(0, 0, reserve(7)).answered(1, 1, start(6), reserve(6), stop(6), sequence = 2)
        assertEquals(7, state.tasks.values.single().order.token)
        assertEquals(TaskStatus.RESERVED, state.status())
    }

    @Test
    fun `a newer token stops what an earlier placement of the job left running`() {
        val old = TaskOrder.Reserve("job", 1, 1, 2, "simulate", listOf(0), 1, 1, long, fromCheckpoint = false)
        val running = worker().answered(0, 0, old, TaskOrder.Start("job", 1, 1))
        val state = running.answered(1, 1, reserve(2, accelerators = listOf(0)), sequence = 2)
        assertEquals(TaskStatus.STOPPED, state.tasks.getValue(TaskId("job", 1)).status)
        assertEquals(TaskStatus.RESERVED, state.status())
    }

    @Test
    fun `a reserved task does not run before its start order`() {
        val state = worker().answered(0, 0, reserve(1)).at(9_000)
        assertEquals(TaskStatus.RESERVED, state.status())
    }

    @Test
    fun `repeated orders change nothing, so that a lost answer does no harm`() {
        val once = worker().answered(0, 0, reserve(1, payload = long), start(1))
        val twice = once.answered(1, 1_000, reserve(1, payload = long), start(1), sequence = 2)
        assertEquals(once.tasks, twice.tasks)
    }

    @Test
    fun `a finished task is reported until it is forgotten`() {
        val done = worker().answered(0, 0, reserve(1), start(1)).at(5)
        assertEquals(TaskStatus.COMPLETED, done.nextHeartbeat(6).second.tasks.single().status)
        assertEquals(TaskStatus.COMPLETED, done.nextHeartbeat(900).second.tasks.single().status)
        assertNull(done.answered(1_000, 1_010, forget(1), sequence = 2).status())
    }

    @Test
    fun `a running task is not forgotten`() {
        val running = worker().answered(0, 0, reserve(1, payload = long), start(1))
        assertEquals(TaskStatus.RUNNING, running.answered(1, 1, forget(1), sequence = 2).status())
    }

    @Test
    fun `accelerators in use are not given to a second job`() {
        val state = worker().answered(0, 0, reserve(1), reserve(2, accelerators = listOf(1, 2), job = "other"))
        assertEquals(TaskStatus.FAILED, state.status("other"))
    }

    @Test
    fun `a stop order waits for the checkpoint but not longer than the grace`() {
        val order = reserve(1, payload = """{"runMillis":9000,"checkpointEveryMillis":1000}""")
        val running = worker().answered(0, 0, order, start(1))
        val stopping = running.answered(1, 100, stop(1), sequence = 2)
        assertEquals(TaskStatus.RUNNING, stopping.at(599).status())
        assertEquals(TaskStatus.STOPPED, stopping.at(600).status())
        val short = running.answered(1, 100, stop(1, graceMillis = 50), sequence = 2)
        assertEquals(TaskStatus.STOPPED, short.at(150).status())
    }

    @Test
    fun `a task whose reserve order was lost is reported as stopped and cannot be reserved afterwards`() {
        val state = worker().answered(0, 0, stop(4))
        assertEquals(TaskStatus.STOPPED, state.status())
        assertEquals(TaskStatus.STOPPED, state.answered(1, 1, reserve(4), sequence = 2).status())
    }

    @Test
    fun `a throttled task takes longer in proportion`() {
        val running = worker().answered(0, 0, reserve(1, payload = """{"runMillis":4000}"""), start(1))
        val half = running.answered(1, 1_000, TaskOrder.Throttle("job", 0, 1, milliCores = 2_000), sequence = 2)
        assertEquals(7_000, half.tasks.values.single().endsAtMillis)
    }

    @Test
    fun `a worker that fails every task reports the failure at the start`() {
        val bad = worker().copy(behaviour = WorkerBehaviour(failAll = true)).answered(0, 0, reserve(1), start(1))
        assertEquals(TaskStatus.FAILED, bad.status())
    }
}
