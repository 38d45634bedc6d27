package org.auburnlever.workload.interference

import org.auburnlever.workload.Workload
import org.auburnlever.workload.WorkloadLimits
import org.auburnlever.workload.planning.PlanningInput
import org.auburnlever.workload.planning.planWork
import org.auburnlever.workload.ref
import org.auburnlever.workload.report
import org.auburnlever.workload.runs.RunView
import org.auburnlever.workload.runs.WorkerView
import org.auburnlever.workload.state.EndKind
import org.auburnlever.workload.state.TaskId
import org.auburnlever.workload.state.TaskRun
import org.auburnlever.workload.step
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

private const val JOB = "00000000000000a1"
private const val NOW = 100_000L

class StopAllowanceTest {
    private val limits = WorkloadLimits()
    private val workload = Workload().withCatalog()
    private val workers = (0 until TASKS).associate { "$it" to WorkerView(ref("$it"), report("$it")) }
    private val runs = (0 until TASKS).map { TaskRun(TaskId(JOB, 0, 0, it), 1) }
    private val atWork = runs.associateWith { atWork("${it.task.index}") }

    init {
        val spec = step(tasks = TASKS, accelerators = 8).copy(longRunning = true, missAllowed = 2)
        workload.submit("routine", JOB, spec)
        workload.assign(JOB, run = 1, workers = (0 until TASKS).associateWith { "$it" })
    }

    private fun atWork(worker: String) =
        RunView(ref(worker), answeredMillis = 0, startedMillis = 0, percent = 100, listedMillis = NOW - 1_000)

    private fun protected(
        views: Map<TaskRun, RunView> = atWork,
        electedMillis: Long = 0,
        workers: Map<String, WorkerView> = this.workers,
    ) = StopAllowance(views, workers, electedMillis, limits, NOW).protectedRuns(workload.state.jobs.values)

    @Test
    fun `as many tasks may be stopped as the step allows`() {
        assertEquals(TASKS - 2, protected().size)
    }

    /** Guards against stops on top of tasks that are away for a cause that the scheduler did not choose. */
    @Test
    fun `tasks that are away for any cause are counted`() {
        val silent = atWork + (runs[0] to atWork("0").copy(listedMillis = NOW - limits.noticeMillis))
        val starting = atWork + (runs[0] to atWork("0").copy(percent = 0))
        val missing = atWork + (runs[0] to atWork("0").copy(missingSinceMillis = NOW - 100))
        listOf(silent, starting, missing).forEach { assertEquals(TASKS - 1, protected(it).size) }

        workload.end(JOB, index = 5, run = 1, kind = EndKind.LOST)
        assertEquals(TASKS - 2, protected(atWork - runs[5]).size, "one of five may be stopped")
        workload.end(JOB, index = 4, run = 1, kind = EndKind.FAILED)
        assertEquals(TASKS - 2, protected(atWork - runs[5] - runs[4]).size, "none of four may be stopped")
    }

    /** Guards against a second stop in the time in which the first one is not carried out yet. */
    @Test
    fun `a stop under way counts at once`() {
        val stopping = atWork + (0..1).associate { runs[it] to atWork("$it").copy(stopSentMillis = NOW) }

        assertEquals(runs.drop(2).toSet(), protected(stopping))
        val allowance = StopAllowance(stopping, workers, electedMillis = 0, limits, NOW)
        assertFalse(allowance.permits(workload.job(JOB), runs[3]))
    }

    /** Guards against stops beside those that the former leader ordered, and before it is known what is at work. */
    @Test
    fun `a new leader stops none until stops of the former one must have been carried out`() {
        assertEquals(runs.toSet(), protected(electedMillis = NOW - limits.noticeMillis + 1))
        assertEquals(runs.toSet(), protected(views = emptyMap()), "nothing is listed yet")
        assertEquals(TASKS - 2, protected(electedMillis = NOW - limits.noticeMillis).size)
    }

    /** Guards against tasks that are kept on a worker that ends anyway. */
    @Test
    fun `tasks on a draining worker may be moved`() {
        val draining = workers + ("0" to WorkerView(ref("0"), report("0", draining = true)))
        val stopped = atWork + (1..2).associate { runs[it] to atWork("$it").copy(stopSentMillis = NOW) }
        assertFalse(runs[0] in protected(stopped, workers = draining))
        assertTrue(runs[3] in protected(stopped, workers = draining))
    }

    /** Guards against an urgent burst that takes more tasks of a step at once than the step allows. */
    @Test
    fun `one plan for many urgent steps preempts no more than the step allows`() {
        repeat(TASKS) { workload.submit("urgent", "00000000000000b$it", step(tasks = 1, accelerators = 8)) }
        val input = PlanningInput(workload.state.jobs.values, workers.values, protectedRuns = protected())

        assertEquals(2, planWork(input, nowMillis = workload.nowMillis).preempted.size)
        assertEquals(TASKS, planWork(input.copy(protectedRuns = emptySet()), workload.nowMillis).preempted.size)
    }

    private companion object {
        const val TASKS = 6
    }
}
