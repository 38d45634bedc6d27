package org.auburnlever.ledger

import org.auburnlever.model.AccountName
import org.auburnlever.model.Shape
import org.auburnlever.wire.ErrorCode
import org.auburnlever.wire.JobPhase
import org.auburnlever.wire.JobSpec
import org.auburnlever.wire.Outcome
import org.auburnlever.wire.TaskReport
import org.auburnlever.wire.TaskStatus
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertIs

class GangTest {
    private val gang = Shape(taskCount = 4, acceleratorsPerTask = 4)

    /** Guards against a gang that loses results or never ends. */
    @Test
    fun `a gang runs all its tasks and ends with their results`() {
        val simulation = LedgerSimulation(bundle(1, account("dakar-glass")))
        simulation.advance(1_000)
        val job = simulation.submit("dakar-glass", JobSpec(SERVICE, gang, estimatedSeconds = 5), runMillis = 5_000)
        simulation.advance(4_000)
        assertEquals(JobPhase.RUNNING, simulation.phase(job))
        simulation.advance(6_000)
        val view = simulation.state.view(simulation.state.jobs.all.getValue(job))
        assertEquals(listOf("r0", "r1", "r2", "r3"), view.results)
        assertIs<Outcome.Completed>(simulation.outcome(job))
        assertEquals(48, simulation.state.summary().acceleratorsFree)
    }

    private fun runningJob(spec: JobSpec): Pair<LedgerSimulation, String> {
        val simulation = LedgerSimulation(bundle(1, account("dakar-glass")))
        simulation.advance(1_000)
        val job = simulation.submit("dakar-glass", spec)
        simulation.advance(4_000)
        assertEquals(JobPhase.RUNNING, simulation.phase(job))
        return simulation to job
    }

    private fun LedgerSimulation.workerOf(jobId: String): FakeWorker {
        val name = state.jobs.all.getValue(jobId).tasks[0].placement.worker
        return workers.first { it.name == name }
    }

    /** Guards against a gang whose other tasks keep running after one was lost. */
    @Test
    fun `a gang that lost a task stops within 15 s and runs again`() {
        val (simulation, job) = runningJob(JobSpec(SERVICE, gang, estimatedSeconds = 60))
        val token = simulation.state.jobs.all.getValue(job).token
        simulation.workerOf(job).online = false
        simulation.advance(15_000)
        val tasks = simulation.workers.filter { it.online }.flatMap { it.tasks.entries }
        assertEquals(0, tasks.count { it.value.token == token && it.value.status == TaskStatus.RUNNING })
        simulation.advance(5_000)
        assertEquals(JobPhase.RUNNING, simulation.phase(job))
        assertEquals(2, simulation.state.jobs.all.getValue(job).attempt)
    }

    /** Guards against a second run of a job that may not be repeated. */
    @Test
    fun `a non-repeatable job that lost a task ends as unknown`() {
        val (simulation, job) = runningJob(JobSpec(SERVICE, gang, estimatedSeconds = 60, repeatable = false))
        simulation.workerOf(job).restart()
        simulation.advance(3_000)
        assertEquals(ErrorCode.WORKER_LOST, assertIs<Outcome.Unknown>(simulation.outcome(job)).code)
    }

    /** Guards against a job that crashes one worker after the other. */
    @Test
    fun `a job is queued again at most three times for lost workers`() {
        val (simulation, job) = runningJob(JobSpec(SERVICE, gang, estimatedSeconds = 60))
        repeat(4) {
            assertEquals(JobPhase.RUNNING, simulation.phase(job))
            simulation.workerOf(job).restart()
            simulation.advance(5_000)
        }
        assertIs<Outcome.Failed>(simulation.outcome(job))
    }

    /** Guards against accelerators that are allocated again while the task may still run. */
    @Test
    fun `accelerators are free only after the worker reported the stop`() {
        val (simulation, job) = runningJob(JobSpec(SERVICE, gang, estimatedSeconds = 60))
        simulation.apply(LedgerCommand.CancelJob(job, AccountName("dakar-glass")))
        simulation.tick()
        assertEquals(48 - 16, simulation.state.summary().acceleratorsFree)
        simulation.advance(1_000)
        assertEquals(48, simulation.state.summary().acceleratorsFree)
        assertEquals(ErrorCode.CANCELLED, assertIs<Outcome.Failed>(simulation.outcome(job)).code)
    }

    /** Guards against an outcome that hides from callers whether the job ever ran. */
    @Test
    fun `a job cancelled before its start is refused`() {
        val simulation = LedgerSimulation(bundle(1, account("dakar-glass")))
        val job = simulation.submit("dakar-glass", JobSpec(SERVICE, gang, estimatedSeconds = 1))
        simulation.apply(LedgerCommand.CancelJob(job, AccountName("joal-salt")))
        assertEquals(JobPhase.QUEUED, simulation.phase(job), "another account's job")
        simulation.apply(LedgerCommand.CancelJob(job, AccountName("dakar-glass")))
        assertIs<Outcome.Refused>(simulation.outcome(job))
    }

    /** Guards against a faulty worker that fails job after job, and against counting a faulty job against it. */
    @Test
    fun `a worker that fails three jobs is suspended and returns after a success`() {
        val simulation = LedgerSimulation(bundle(1, account("dakar-glass")), racks = 1, perRack = 2)
        simulation.advance(1_000)
        val failing = simulation.workers[0]
        failing.failsStarts = true
        repeat(6) { simulation.submit("dakar-glass", JobSpec(SERVICE, Shape(1, 4), estimatedSeconds = 5), 5_000) }
        simulation.advance(10_000)
        assertEquals(listOf(failing.name), simulation.state.summary().workersSuspended.map { it.worker })
        failing.failsStarts = false
        simulation.advance(55_000)
        repeat(5) { simulation.submit("dakar-glass", JobSpec(SERVICE, Shape(1, 4), estimatedSeconds = 5), 5_000) }
        simulation.advance(40_000)
        assertEquals(null, simulation.state.workers.getValue(failing.name).suspension)
    }

    /** Guards against a job that fails on every worker and gets all of them suspended. */
    @Test
    fun `only the first failed task of a gang counts against its worker`() {
        val (simulation, job) = runningJob(JobSpec(SERVICE, Shape(2, 8), estimatedSeconds = 60))
        simulation.state.jobs.all.getValue(job).tasks.forEachIndexed { index, task ->
            val report = TaskReport(job, index, simulation.state.jobs.all.getValue(job).token, TaskStatus.FAILED)
            simulation.apply(LedgerCommand.TasksReported(task.placement.worker, 1, listOf(report)))
        }
        assertEquals(ErrorCode.TASK_FAILED, assertIs<Outcome.Failed>(simulation.outcome(job)).code)
        val withFailedStarts = simulation.state.workers.values.filter { it.failedStarts.isNotEmpty() }
        assertEquals(1, withFailedStarts.size, "the second failure came while the gang was being stopped")
    }

    /** Guards against a resent submission that creates a second job. */
    @Test
    fun `a submission is idempotent by its key`() {
        val simulation = LedgerSimulation(bundle())
        val key = RequestKey(AccountName("dakar-glass"), "${BASE_MILLIS / 1_000}-x")
        val submit = LedgerCommand.SubmitJob("a", key, "d", JobSpec(SERVICE, gang, estimatedSeconds = 1))
        assertEquals(simulation.apply(submit), simulation.apply(submit.copy(jobId = "b")))
        val reused = assertIs<LedgerReply.Rejected>(simulation.apply(submit.copy(bodySha256Hex = "e")))
        assertEquals(ErrorCode.KEY_REUSED, assertIs<Outcome.Refused>(reused.refusal).code)
    }

    /** Guards against jobs that wait forever because no worker could ever hold them. */
    @Test
    fun `an impossible job is refused with the largest shape that could run`() {
        val simulation = LedgerSimulation(bundle(1, account("dakar-glass", quota = 40)))
        simulation.advance(1_000)
        val key = RequestKey(AccountName("dakar-glass"), "${BASE_MILLIS / 1_000}-x")
        val refusals = listOf(Shape(4, 8), Shape(6, 8)).map { shape ->
            val submit = LedgerCommand.SubmitJob("a", key, "d", JobSpec(SERVICE, shape, estimatedSeconds = 1))
            assertIs<Outcome.Refused>(assertIs<LedgerReply.Rejected>(simulation.apply(submit)).refusal)
        }
        assertEquals(listOf(ErrorCode.IMPOSSIBLE_SHAPE, ErrorCode.OVER_QUOTA), refusals.map { it.code })
        assertContains(refusals[0].message, "largest: 3 x (8 accelerators")
    }
}
