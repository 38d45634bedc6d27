package org.auburnlever.workload.holds

import org.auburnlever.workload.Workload
import org.auburnlever.workload.planning.PlanningInput
import org.auburnlever.workload.planning.WorkPlan
import org.auburnlever.workload.planning.planWork
import org.auburnlever.workload.report
import org.auburnlever.workload.runs.WorkerView
import org.auburnlever.workload.state.WorkloadCommand
import org.auburnlever.workload.step
import kotlin.test.Test
import kotlin.test.assertEquals

class HoldOverrideTest {
    private val workload = Workload(nowMillis = 100_000).withCatalog()
    private val workers = listOf("1", "2", "3", "4").map { WorkerView(report(it).ref, report(it)) }

    private fun plan(leftOut: Set<String> = emptySet(), urgentReserve: Int = 0): WorkPlan {
        val (avoided, usable) = workers.partition { it.ref.id in leftOut }
        val suspended = avoided.map {
            val untilMillis = workload.nowMillis + 40_000
            LeftOutWorker(it, HoldRule.SUSPENDED_WORKER, report("1").capacity, owner = "b", untilMillis)
        }
        val input = PlanningInput(workload.state.jobs.values, usable, urgentReserve = urgentReserve)
        return planWork(input.copy(leftOut = suspended), workload.nowMillis)
    }

    private fun placed(plan: WorkPlan) = plan.assignments.flatMap { it.workers.values }.map { it.id }.sorted()

    @Test
    fun `a job stands still on an idle fleet whose workers are all suspended`() {
        workload.submit("routine", "a", step(tasks = 1))
        assertEquals(emptyList(), placed(plan(leftOut = setOf("1", "2", "3", "4"))))

        workload.nowMillis += HoldLimit.MAX_HOLD_MILLIS
        val late = plan(leftOut = setOf("1", "2", "3", "4"))
        assertEquals(1, placed(late).size)
        assertEquals(setOf(HoldRule.SUSPENDED_WORKER), late.overridden.values.single())
    }

    @Test
    fun `a suspended worker is used although others have room`() {
        workload.submit("routine", "a", step(tasks = 2, accelerators = 8))
        workload.nowMillis += HoldLimit.MAX_HOLD_MILLIS

        assertEquals(listOf("3", "4"), placed(plan(leftOut = setOf("1", "2"))))
    }

    @Test
    fun `a job stands still beside a gang that waits for room`() {
        workload.submit("routine", "a", step(tasks = 1, accelerators = 1))
        workload.apply(WorkloadCommand.Assign(plan().assignments))
        workload.submit("routine", "gang", step(tasks = 32, gang = true))
        workload.nowMillis += 1
        workload.submit("routine", "late", step(tasks = 1))
        assertEquals(emptyList(), placed(plan()))

        workload.nowMillis += HoldLimit.MAX_HOLD_MILLIS
        assertEquals(1, placed(plan()).size)
    }

    @Test
    fun `a long-running task stands still because a busy fleet keeps room for urgent jobs`() {
        workload.submit("routine", "a", step(tasks = 3, accelerators = 8))
        workload.apply(WorkloadCommand.Assign(plan().assignments))
        workload.submit("routine", "lasting", step(tasks = 1).copy(longRunning = true))
        workload.submit("routine", "single", step(tasks = 1))
        assertEquals(emptyList(), placed(plan(urgentReserve = 8)))

        workload.nowMillis += HoldLimit.MAX_HOLD_MILLIS
        assertEquals(listOf("lasting"), plan(urgentReserve = 8).assignments.map { it.step.job })
    }

    @Test
    fun `more tasks of a step start on a worker than its limit allows`() {
        workload.submit("routine", "a", step(tasks = 4).copy(maxTasksPerWorker = 1))
        workload.nowMillis += HoldLimit.MAX_HOLD_MILLIS

        assertEquals(listOf("1", "2", "3", "4"), placed(plan(leftOut = setOf("4"))))
        workload.submit("routine", "b", step(tasks = 5).copy(maxTasksPerWorker = 1))
        workload.nowMillis += HoldLimit.MAX_HOLD_MILLIS
        assertEquals(8, placed(plan(leftOut = setOf("4"))).size)
    }

    @Test
    fun `a rack-sensitive gang stands still while each rack is partly in use`() {
        val racks = workers.map { it.copy(report = it.report?.copy(labels = listOf("k", "r${it.ref.id.toInt() % 2}"))) }
        workload.submit("routine", "a", step(tasks = 1))
        workload.submit("routine", "b", step(tasks = 1))
        val ends = mapOf("a" to "1", "b" to "2")
        ends.forEach { (job, worker) -> workload.assign(job, run = 1, workers = mapOf(0 to worker)) }
        workload.submit("routine", "gang", step(tasks = 2, accelerators = 8, gang = true, rackSensitive = true))
        val input = { PlanningInput(workload.state.jobs.values, racks) }
        assertEquals(emptyList(), placed(planWork(input(), workload.nowMillis)))

        workload.nowMillis += HoldLimit.MAX_HOLD_MILLIS
        assertEquals(listOf("3", "4"), placed(planWork(input(), workload.nowMillis)))
    }
}
