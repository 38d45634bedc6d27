package org.auburnlever.workload.holds

import org.auburnlever.workload.CoordinatorHarness
import org.auburnlever.workload.planning.PlanningInput
import org.auburnlever.workload.planning.UrgentDemand
import org.auburnlever.workload.planning.planWork
import org.auburnlever.workload.report
import org.auburnlever.workload.runs.ActiveRun
import org.auburnlever.workload.runs.NumberedEnd
import org.auburnlever.workload.runs.OrderAnswer
import org.auburnlever.workload.runs.WorkerOrder
import org.auburnlever.workload.runs.WorkerView
import org.auburnlever.workload.state.EndKind
import org.auburnlever.workload.state.Resources
import org.auburnlever.workload.state.RunEnd
import org.auburnlever.workload.state.WorkloadCommand
import org.auburnlever.workload.step
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

internal class HoldRulesTest : CoordinatorHarness() {
    private val views = listOf("1", "2", "3", "4").map { WorkerView(report(it).ref, report(it)) }

    private fun plannedJobs(): List<String> {
        val plan = planWork(PlanningInput(workload.state.jobs.values, views), workload.nowMillis)
        workload.apply(WorkloadCommand.Assign(plan.assignments))
        return plan.assignments.map { it.step.job }
    }

    private fun events(name: String) = logEntries.filter { it.event == name }

    @Test
    fun `a gang that the fleet can never hold keeps its free room`() {
        workload.submit("routine", "a", step(tasks = 20))
        workload.submit("routine", "wide", step(tasks = 33, gang = true))
        workload.submit("routine", "z", step(tasks = 1))

        assertEquals(listOf("a", "z"), plannedJobs())
    }

    @Test
    fun `a gang keeps the free room of a busy fleet for as long as it waits`() {
        val long = step(tasks = 1).copy(need = Resources(16_000, 1_000, accelerators = 1), estimatedMillis = 90_000)
        workload.submit("routine", "a", long.copy(taskCount = 20))
        plannedJobs()
        workload.submit("routine", "gang", long.copy(taskCount = 32, gang = true))
        workload.submit("routine", "z", long)
        assertEquals(emptyList(), plannedJobs())

        workload.nowMillis += HoldRule.GANG_RESERVATION.limitMillis
        assertEquals(listOf("z"), plannedJobs())
    }

    @Test
    fun `a hopeless urgent gang keeps room for urgent jobs for as long as it waits`() {
        workload.submit("urgent", "wide", step(tasks = 33, gang = true))
        val first = UrgentDemand().observed(workload.state.jobs.values, workload.nowMillis)
        assertTrue(first.reserve(workload.state.jobs.values) > 0)

        workload.nowMillis += HoldRule.URGENT_DEMAND.limitMillis + 1
        val later = first.observed(workload.state.jobs.values, workload.nowMillis)
        assertEquals(0, later.reserve(workload.state.jobs.values))
    }

    @Test
    fun `long-running tasks that fail now and then suspend a sound worker`() {
        deliver(report("1"))
        workload.submit("routine", JOB, step(tasks = 1).copy(longRunning = true))
        workload.submit("routine", OTHER_JOB, step(tasks = 1).copy(longRunning = true))
        tick(afterMillis = 1_000)
        val starts = List(2) { take<WorkerOrder.Start>() }
        starts.forEach { answer(it, OrderAnswer.Done(clockMillis = 100_100)) }
        tick()
        workload.nowMillis += 20_000
        val ends = starts.mapIndexed { index, start -> NumberedEnd(index + 1L, RunEnd(start.run, EndKind.FAILED, "")) }
        answer(take<WorkerOrder.Poll>(), listed(ended = ends))

        assertEquals(emptyList(), events("worker_suspended"))
    }

    @Test
    fun `a worker is left out because the percentage of a long task rises slowly`() {
        val start = startJob(step(tasks = 1).copy(estimatedMillis = 400_000))
        answer(start, OrderAnswer.Done(clockMillis = 100_100))
        tick()
        answer(take<WorkerOrder.Poll>(), listed(active = listOf(ActiveRun(start.run, "", percent = 1))))
        tick(afterMillis = 3_600)

        assertEquals(emptyList(), events("worker_stalled"))
    }

    private companion object {
        const val OTHER_JOB = "00000000000000b2"
    }
}
