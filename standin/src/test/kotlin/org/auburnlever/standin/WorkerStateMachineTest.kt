package org.auburnlever.standin

import org.auburnlever.wire.TaskStatus
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

class WorkerStateMachineTest {
    @Test
    fun `the lease counts from when the heartbeat was sent and not from when its answer arrived`() {
        val state = worker().afterAnswer(sentAt = 1_000, now = 1_900)
        assertTrue(state.holdsLease(10_999))
        assertFalse(state.holdsLease(11_000))
    }

    @Test
    fun `every task stops when the lease ends, so that a gang cannot run on an isolated worker`() {
        val running = worker().afterAnswer(0, 10, reserve(1, payload = """{"runMillis":60000}"""), start(1))
        assertEquals(TaskStatus.RUNNING, running.afterTick(9_999).taskStatus())
        assertEquals(TaskStatus.STOPPED, running.afterTick(10_000).taskStatus())
    }

    @Test
    fun `a task whose end is noticed only after the lease ended is stopped and not completed`() {
        // The process was suspended past the end of its lease: the ledger may already have started the task elsewhere.
        val running = worker().afterAnswer(0, 10, reserve(1, payload = """{"runMillis":500}"""), start(1))
        assertEquals(TaskStatus.STOPPED, running.afterTick(20_000).taskStatus())
    }

    @Test
    fun `an answer that arrives after the end of its lease renews nothing and its orders are dropped`() {
        val state = worker().afterAnswer(sentAt = 0, now = 10_000, reserve(1))
        assertNull(state.leaseEndsMillis)
        assertNull(state.taskStatus())
    }

    @Test
    fun `an answer that arrives out of order neither shortens the lease nor reserves a forgotten task again`() {
        val forgotten = worker()
            .afterAnswer(0, 10, reserve(1), start(1), sequence = 1)
            .afterTick(20)
            .afterAnswer(2_000, 2_010, forget(1), sequence = 3)
        assertNull(forgotten.taskStatus())
        val late = forgotten.afterAnswer(1_000, 2_020, reserve(1), sequence = 2)
        assertNull(late.taskStatus())
        assertEquals(12_000, late.leaseEndsMillis)
    }

    @Test
    fun `a task completes after the run time in its payload and reports the result in it`() {
        val order = reserve(1, payload = """{"runMillis":500,"result":"mould 7"}""")
        val running = worker().afterAnswer(0, 100, order, start(1))
        assertEquals(TaskStatus.RUNNING, running.afterTick(599).taskStatus())
        val report = running.afterTick(600).reports(600).single()
        assertEquals(TaskStatus.COMPLETED, report.status)
        assertEquals("mould 7", report.result)
    }

    @Test
    fun `usage is reported after a lag and the checkpoint age restarts with each checkpoint`() {
        val order = reserve(1, payload = """{"runMillis":9000,"checkpointEveryMillis":1500}""")
        val running = worker().afterAnswer(0, 0, order, start(1))
        assertEquals(0, running.reports(1_999).single().usedMemoryMiB)
        assertNull(running.reports(1_400).single().checkpointAgeMillis)
        assertEquals(256, running.reports(2_000).single().usedMemoryMiB)
        assertEquals(500, running.reports(2_000).single().checkpointAgeMillis)
    }
}
