package org.auburnlever.workload.evacuation

import org.auburnlever.model.DomainName
import org.auburnlever.workload.Workload
import org.auburnlever.workload.planning.RunProgress
import org.auburnlever.workload.ref
import org.auburnlever.workload.report
import org.auburnlever.workload.runs.WorkerView
import org.auburnlever.workload.state.TaskId
import org.auburnlever.workload.state.TaskRun
import org.auburnlever.workload.state.WorkloadCommand
import org.auburnlever.workload.step
import kotlin.test.Test
import kotlin.test.assertEquals

/** Checks how much of a worker is used after the evacuation of its failure domain, which ends at [END_MILLIS]. */
internal class WorkerWarmUpTest {
    private val workload = Workload(nowMillis = 10_000).withCatalog()
    private val run = TaskRun(TaskId("job", 0, 0, 0), 1)

    private fun evacuateFor(millis: Long) {
        workload.nowMillis = END_MILLIS - millis
        workload.apply(WorkloadCommand.Evacuate(DomainName("a")))
        workload.nowMillis = END_MILLIS
        workload.apply(WorkloadCommand.EndEvacuation(DomainName("a")))
    }

    private fun accelerators(nowMillis: Long, percent: Int? = null): Int? {
        val progress = percent?.let { mapOf(run to RunProgress(it, nowMillis)) }.orEmpty()
        val views = listOf(WorkerView(ref("1"), report("1")))
        return WorkerWarmUp(workload.state, progress, nowMillis).limit(views).single().report?.capacity?.accelerators
    }

    /** Guards against all waiting work going to workers that may be cold, and against room that stays idle for long. */
    @Test
    fun `the capacity of a returning worker grows with time`() {
        evacuateFor(millis = 20_000)
        assertEquals(listOf(2, 4, 8), listOf(0L, 2_500L, 5_000L).map { accelerators(END_MILLIS + it) })
    }

    /** Guards against a cold worker that gets more work, and against one that is held back for good. */
    @Test
    fun `slow runs keep the capacity small for a limited time, a run at usual speed makes it whole`() {
        evacuateFor(millis = 20_000)
        workload.submit("routine", "job", step(tasks = 1))
        workload.assign("job", 1, mapOf(0 to "1"))
        assertEquals(2, accelerators(END_MILLIS + 6_150, percent = 30))
        assertEquals(8, accelerators(END_MILLIS + 1_350, percent = 50))
        assertEquals(8, accelerators(END_MILLIS + 15_000, percent = 30))
    }

    /** Guards against a worker whose work ran on and would not fit into its own share. */
    @Test
    fun `work that ran on counts as capacity, and a short evacuation limits nothing`() {
        workload.submit("routine", "job", step(tasks = 1, accelerators = 6))
        workload.assign("job", 1, mapOf(0 to "1"))
        evacuateFor(millis = 20_000)
        assertEquals(6, accelerators(END_MILLIS))
        evacuateFor(millis = 1_000)
        assertEquals(8, accelerators(END_MILLIS))
    }

    private companion object {
        const val END_MILLIS = 100_000L
    }
}
