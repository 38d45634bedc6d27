package org.auburnlever.workload

import org.auburnlever.workload.planning.PlanningInput
import org.auburnlever.workload.planning.planWork
import org.auburnlever.workload.runs.WorkerView
import org.auburnlever.workload.state.Assignment
import org.auburnlever.workload.state.CrashTiming
import org.auburnlever.workload.state.EndKind
import org.auburnlever.workload.state.JobPhase
import org.auburnlever.workload.state.JobRecord
import org.auburnlever.workload.state.RunEnd
import org.auburnlever.workload.state.TaskId
import org.auburnlever.workload.state.TaskRun
import org.auburnlever.workload.state.WorkloadCommand
import org.auburnlever.workload.state.apply
import org.auburnlever.workload.state.assign
import org.auburnlever.workload.state.runsAlone
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

private const val JOB = "00000000000000a1"
private const val OTHER = "00000000000000a2"

/** Checks what a crash of a worker means for the tasks that ran there, and where suspected tasks are placed. */
class CrashSuspicionTest {
    private val workload = Workload(nowMillis = 10_000).withCatalog()
    private val record: JobRecord get() = workload.job(JOB)

    private fun crash(run: Int, timing: CrashTiming, index: Int = 0, worker: String = "1") {
        workload.assign(JOB, run, mapOf(index to worker))
        val end = RunEnd(TaskRun(TaskId(JOB, 0, 0, index), run), EndKind.LOST, "", timing)
        workload.apply(WorkloadCommand.RecordEnds(listOf(end)))
    }

    private fun plan(vararg workers: String, nowMillis: Long = workload.nowMillis): List<Assignment> {
        val views = workers.map { WorkerView(ref(it), report(it), lastContactMillis = nowMillis) }
        return planWork(PlanningInput(workload.state.jobs.values, views), nowMillis).assignments
    }

    private fun List<Assignment>.workerOf(job: String, index: Int = 0): String? =
        filter { it.step.job == job }.firstNotNullOfOrNull { it.workers[index] }?.id

    /** Guards against a task that crashes worker after worker: the third crash gives it up. */
    @Test
    fun `a crash at the start and two of a worker without other runs fail the job`() {
        workload.submit("routine", JOB, step(tasks = 2))
        crash(run = 1, CrashTiming.AT_START)
        crash(run = 2, CrashTiming.ALONE)
        assertEquals(JobPhase.ACTIVE, record.phase)
        crash(run = 3, CrashTiming.ALONE)

        assertEquals(JobPhase.FAILED, record.phase)
    }

    /** Guards against jobs that fail because their tasks shared workers with one that crashes them. */
    @Test
    fun `crashes of shared workers only make a task run alone`() {
        workload.submit("routine", JOB, step(tasks = 1))
        crash(run = 1, CrashTiming.LATER)
        assertTrue(!record.steps(0).single().tasks.single().runsAlone)
        repeat(10) { crash(run = it + 2, CrashTiming.AT_START) }

        assertTrue(record.steps(0).single().tasks.single().runsAlone)
        assertEquals(JobPhase.ACTIVE, record.phase)
    }

    /** Guards against a long-running job whose task crashes workers for as long as nobody cancels it. */
    @Test
    fun `a long-running task that crashes its workers fails the job`() {
        workload.submit("routine", JOB, step(tasks = 1).copy(longRunning = true))
        repeat(3) { crash(run = it + 1, CrashTiming.ALONE) }

        assertEquals(JobPhase.FAILED, record.phase)
    }

    /** Guards against runs of other jobs that are lost with a suspected task. */
    @Test
    fun `a suspected task gets an idle worker and nothing is placed beside it`() {
        workload.submit("routine", OTHER, step(tasks = 1))
        workload.assign(OTHER, run = 1, mapOf(0 to "1"))
        workload.submit("urgent", JOB, step(tasks = 1))
        crash(run = 1, CrashTiming.AT_START)
        assertEquals("2", plan("1", "2").workerOf(JOB))

        workload.assign(JOB, run = 2, mapOf(0 to "2"))
        workload.submit("routine", "00000000000000a3", step(tasks = 1))
        assertEquals(emptyList(), plan("2"))
        val laterMillis = workload.nowMillis + 6_000
        assertEquals("2", plan("2", nowMillis = laterMillis).workerOf("00000000000000a3"), "it survived its start")
    }

    /** Guards against a step that waits for an idle worker because one of its tasks does. */
    @Test
    fun `the other tasks of a step do not wait for the suspected one`() {
        workload.submit("routine", OTHER, step(tasks = 1))
        workload.assign(OTHER, run = 1, mapOf(0 to "1"))
        workload.submit("routine", JOB, step(tasks = 3))
        crash(run = 1, CrashTiming.AT_START, index = 1)
        val assignments = plan("1")

        assertEquals(setOf(0, 2), assignments.filter { it.step.job == JOB }.flatMap { it.workers.keys }.toSet())
    }

    /** Guards against a suspected task that never starts since small tasks take all room that becomes free. */
    @Test
    fun `a worker is kept free of new tasks until a suspected task finds it idle`() {
        workload.submit("routine", OTHER, step(tasks = 1))
        workload.assign(OTHER, run = 1, mapOf(0 to "1"))
        workload.submit("urgent", JOB, step(tasks = 1))
        crash(run = 1, CrashTiming.AT_START)
        workload.submit("routine", "00000000000000a3", step(tasks = 1))
        assertEquals(emptyList(), plan("1"))
        workload.end(OTHER, index = 0, run = 1, EndKind.DONE)

        assertEquals("1", plan("1").workerOf(JOB))
    }

    /** Guards against a gang of which only a part starts, or whose suspected member shares its worker. */
    @Test
    fun `a gang with a suspected member starts as a whole with that member alone`() {
        workload.submit("routine", JOB, step(tasks = 3, gang = true))
        workload.assign(JOB, run = 1, mapOf(0 to "1", 1 to "1", 2 to "1"))
        val ends = (0..2).map { index ->
            val crash = CrashTiming.AT_START.takeIf { index == 0 }
            RunEnd(TaskRun(TaskId(JOB, 0, 0, index), 1), EndKind.LOST, "", crash)
        }
        workload.apply(WorkloadCommand.RecordEnds(ends))
        assertEquals(emptyList(), plan("1"))

        val workers = plan("1", "2").single().workers
        assertEquals(setOf(0, 1, 2), workers.keys)
        assertTrue(workers.none { (index, worker) -> index != 0 && worker == workers.getValue(0) }, "$workers")
    }
}
