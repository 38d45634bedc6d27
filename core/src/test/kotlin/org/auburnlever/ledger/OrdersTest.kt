package org.auburnlever.ledger

import org.auburnlever.model.Shape
import org.auburnlever.model.WorkerName
import org.auburnlever.wire.JobPhase
import org.auburnlever.wire.JobSpec
import org.auburnlever.wire.TaskOrder
import org.auburnlever.wire.TaskReport
import org.auburnlever.wire.TaskStatus
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class OrdersTest {
    private val simulation = LedgerSimulation(bundle(1, account("joal-salt")), racks = 1, perRack = 2)
    private val first = simulation.workers[0]

    private fun placedJob(): JobRecord {
        simulation.advance(1_000)
        val jobId = simulation.submit("joal-salt", JobSpec(SERVICE, Shape(2, 8), estimatedSeconds = 60))
        simulation.tick()
        return simulation.state.jobs.all.getValue(jobId)
    }

    private fun orders(vararg reports: TaskReport): List<TaskOrder> =
        ordersFor(simulation.state, first.heartbeat().copy(tasks = reports.toList()))

    private fun report(worker: WorkerName, job: JobRecord, status: TaskStatus, token: Long = job.token): TaskReport {
        val task = job.tasks.indexOfFirst { it.placement.worker == worker }
        return TaskReport(job.jobId, task, token, status)
    }

    /** Guards against an order that is lost with its reply, and against a start before the whole gang is reserved. */
    @Test
    fun `orders are repeated until they are carried out and start waits for all tasks`() {
        val job = placedJob()
        assertIs<TaskOrder.Reserve>(orders().single())
        assertEquals(orders(), orders())
        val reserved = report(first.name, job, TaskStatus.RESERVED)
        simulation.receiveHeartbeat(first.heartbeat().copy(tasks = listOf(reserved)))
        assertEquals(emptyList(), orders(reserved))
        val second = simulation.workers[1]
        simulation.receiveHeartbeat(
            second.heartbeat().copy(tasks = listOf(report(second.name, job, TaskStatus.RESERVED))),
        )
        assertEquals(JobPhase.STARTING, simulation.phase(job.jobId))
        assertIs<TaskOrder.Start>(orders(reserved).single())
    }

    /** Guards against tasks of an earlier placement that keep running, and stops of a placement not yet applied. */
    @Test
    fun `tasks that the ledger does not know are stopped and forgotten`() {
        val job = placedJob()
        val old = report(first.name, job, TaskStatus.RUNNING, token = job.token - 1)
        assertIs<TaskOrder.Stop>(orders(old).last())
        assertIs<TaskOrder.Forget>(orders(old.copy(status = TaskStatus.STOPPED)).last())
        val ahead = report(first.name, job, TaskStatus.RUNNING, token = job.token + 100)
        assertIs<TaskOrder.Reserve>(orders(ahead).single())
    }

    /** Guards against late reports of an earlier placement that would free accelerators or fail the new one. */
    @Test
    fun `reports with another token change nothing`() {
        val job = placedJob()
        val stale = listOf(TaskStatus.FAILED, TaskStatus.STOPPED, TaskStatus.COMPLETED, TaskStatus.RESERVED)
            .map { report(first.name, job, it, token = job.token - 1) }
        simulation.apply(LedgerCommand.TasksReported(first.name, 1, stale))
        assertEquals(job, simulation.state.job(job.jobId))
    }

    /** Guards against a task that uses the cores or memory of others on the same worker. */
    @Test
    fun `a task over its declared size is throttled`() {
        val job = placedJob()
        simulation.advance(3_000)
        assertEquals(JobPhase.RUNNING, simulation.phase(job.jobId))
        val running = report(first.name, job, TaskStatus.RUNNING)
        assertEquals(emptyList(), orders(running.copy(usedMilliCores = 1_100, usedMemoryMiB = 1_126)))
        val overCores = orders(running.copy(usedMilliCores = 1_101)).single()
        assertEquals(1_000, assertIs<TaskOrder.Throttle>(overCores).milliCores)
        val overMemory = orders(running.copy(usedMemoryMiB = 1_127)).single()
        assertEquals(500, assertIs<TaskOrder.Throttle>(overMemory).milliCores)
    }

    /** Guards against a task that is gone from its worker but would hold its accelerators forever. */
    @Test
    fun `a task that its worker no longer reports counts as stopped after three seconds`() {
        val job = placedJob()
        simulation.advance(3_000)
        first.tasks.clear()
        simulation.advance(2_500)
        assertEquals(JobPhase.RUNNING, simulation.phase(job.jobId))
        simulation.advance(2_000)
        assertEquals(1, simulation.state.jobs.all.getValue(job.jobId).lostRequeues)
    }
}
