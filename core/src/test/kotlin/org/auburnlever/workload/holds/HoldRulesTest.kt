package org.auburnlever.workload.holds

import org.auburnlever.workload.CoordinatorHarness
import org.auburnlever.workload.planning.PlanningInput
import org.auburnlever.workload.planning.UrgentDemand
import org.auburnlever.workload.planning.planWork
import org.auburnlever.workload.report
import org.auburnlever.workload.runs.WorkerView
import org.auburnlever.workload.state.Resources
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
}
