package org.auburnlever.workload.planning

import org.auburnlever.workload.Workload
import org.auburnlever.workload.address
import org.auburnlever.workload.catalog
import org.auburnlever.workload.queue
import org.auburnlever.workload.report
import org.auburnlever.workload.runs.WorkerReport
import org.auburnlever.workload.runs.WorkerView
import org.auburnlever.workload.state.Assignment
import org.auburnlever.workload.state.EndKind
import org.auburnlever.workload.state.StepId
import org.auburnlever.workload.state.TaskId
import org.auburnlever.workload.state.TaskRun
import org.auburnlever.workload.state.WorkloadCommand
import org.auburnlever.workload.state.apply
import org.auburnlever.workload.state.record
import org.auburnlever.workload.step
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class WorkPlanTest {
    private val workload = Workload().withCatalog()

    private fun plan(
        workers: List<WorkerReport>,
        stopping: Set<TaskRun> = emptySet(),
        urgentReserve: Int = 0,
    ): WorkPlan {
        val views = workers.map { WorkerView(it.ref, it, lastContactMillis = workload.nowMillis) }
        val input = PlanningInput(workload.state.jobs.values, views, stopping, urgentReserve = urgentReserve)
        return planWork(input, workload.nowMillis)
    }

    /** A step that lasts longer than an urgent job can wait. */
    private fun longStep(tasks: Int, accelerators: Int = 1, gang: Boolean = false) =
        step(tasks, accelerators, gang).copy(estimatedMillis = 20_000)

    private fun record(plan: WorkPlan) = workload.apply(WorkloadCommand.Assign(plan.assignments))

    @Test
    fun `a gang starts whole or not at all`() {
        workload.submit("routine", "a", step(tasks = 3, accelerators = 8, gang = true))

        assertTrue(plan(listOf(report("1"), report("2"))).assignments.isEmpty())
        assertEquals(3, plan(listOf(report("1"), report("2"), report("3"))).assignments.single().workers.size)
    }

    @Test
    fun `a rack-sensitive gang is placed on one rack although a worker of another rack comes first`() {
        workload.submit("routine", "a", step(tasks = 2, accelerators = 8, gang = true, rackSensitive = true))
        val workers = listOf(report("1", "r1"), report("2", "r2"), report("3", "r2"))

        assertEquals(setOf("2", "3"), plan(workers).assignments.single().workers.values.map { it.id }.toSet())
    }

    @Test
    fun `a gang that fits into no single rack is spread over racks instead of waiting forever`() {
        workload.submit("routine", "a", step(tasks = 3, accelerators = 8, gang = true, rackSensitive = true))
        val workers = listOf(report("1", "r1"), report("2", "r2"), report("3", "r2"))

        assertEquals(3, plan(workers).assignments.single().workers.size)
    }

    @Test
    fun `small tasks fill a worker that is in use before they use an empty one`() {
        workload.submit("routine", "a", step(tasks = 1, accelerators = 2))
        record(plan(listOf(report("2"))))
        workload.submit("routine", "b", step(tasks = 2, accelerators = 2))

        val placed = plan(listOf(report("1"), report("2"))).assignments.single().workers.values
        assertEquals(setOf("2"), placed.map { it.id }.toSet())
    }

    @Test
    fun `an urgent gang preempts the cheapest routine work and keeps its resources reserved until that has stopped`() {
        workload.submit("routine", "old", longStep(tasks = 1, accelerators = 8))
        record(plan(listOf(report("1"))))
        workload.nowMillis += 5_000
        workload.submit("routine", "new", longStep(tasks = 1, accelerators = 8))
        record(plan(listOf(report("1"), report("2"))))
        workload.submit("urgent", "now", step(tasks = 1, accelerators = 8, gang = true))
        workload.submit("routine", "next", step(tasks = 1, accelerators = 8))

        val workers = listOf(report("1"), report("2"))
        val first = plan(workers)
        val victim = TaskRun(TaskId("new", 0, 0, 0), run = 1)
        assertEquals(listOf(victim), first.preempted)
        assertEquals(mapOf(victim to StepId("now", 0, 0)), first.preemptedFor)
        assertTrue(first.assignments.isEmpty())

        val second = plan(workers, stopping = setOf(victim))
        assertTrue(second.preempted.isEmpty())

        workload.end("new", index = 0, run = 1, kind = EndKind.STOPPED)
        assertEquals("now", plan(workers, setOf(victim)).assignments.first().step.job)
    }

    @Test
    fun `a gang is preempted as a whole`() {
        workload.submit("routine", "gang", longStep(tasks = 2, accelerators = 4, gang = true))
        record(plan(listOf(report("1"))))
        workload.submit("urgent", "now", step(tasks = 1, accelerators = 4))

        assertEquals(2, plan(listOf(report("1"))).preempted.size)
    }

    @Test
    fun `urgent work does not preempt urgent work`() {
        workload.submit("urgent", "a", step(tasks = 1, accelerators = 8))
        record(plan(listOf(report("1"))))
        workload.submit("urgent", "b", step(tasks = 1, accelerators = 8))

        assertTrue(plan(listOf(report("1"))).preempted.isEmpty())
    }

    @Test
    fun `a step has no more tasks on a worker than its limit allows`() {
        workload.submit("routine", "a", step(tasks = 3).copy(maxTasksPerWorker = 1))

        assertEquals(2, plan(listOf(report("1"), report("2"))).assignments.single().workers.size)
    }

    @Test
    fun `a step with a constraint is placed only on workers with that label`() {
        workload.submit("routine", "a", step(tasks = 1).copy(constraint = "x"))

        assertTrue(plan(listOf(report("1"))).assignments.isEmpty())
    }

    @Test
    fun `resources of runs that are stopping are not allocated to other steps in the same plan`() {
        workload.submit("routine", "old", longStep(tasks = 1, accelerators = 4))
        record(plan(listOf(report("1"))))
        workload.submit("urgent", "gang", step(tasks = 1, accelerators = 8, gang = true))
        workload.submit("routine", "next", step(tasks = 4, accelerators = 1))

        val plan = plan(listOf(report("1")))
        assertEquals(listOf(TaskRun(TaskId("old", 0, 0, 0), 1)), plan.preempted)
        assertTrue(plan.assignments.isEmpty(), "the worker is reserved for the gang: ${plan.assignments}")
    }

    @Test
    fun `an urgent gang keeps waiting for the runs that stop for it`() {
        val workers = listOf(report("1", "r1"), report("2", "r2"))
        workload.submit("routine", "a", longStep(tasks = 1, accelerators = 8))
        record(plan(listOf(workers[0])))
        workload.nowMillis += 3_000
        workload.submit("routine", "b", longStep(tasks = 1, accelerators = 8))
        record(plan(workers))
        workload.submit("urgent", "gang", step(tasks = 2, accelerators = 4, gang = true, rackSensitive = true))
        val stopping = plan(workers).preempted.toSet()
        assertEquals(setOf(TaskRun(TaskId("b", 0, 0, 0), 1)), stopping)

        workload.end("a", index = 0, run = 1, kind = EndKind.DONE)
        workload.submit("routine", "c", step(tasks = 1, accelerators = 1))
        val next = plan(workers, stopping)
        assertTrue(next.preempted.isEmpty())
        assertEquals(listOf("gang"), next.assignments.filter { it.step.job == "gang" }.map { it.step.job })
    }

    @Test
    fun `routine work leaves a reserve free for a stream of urgent jobs`() {
        val workers = List(4) { report("$it") }
        workload.submit("routine", "flood", step(tasks = 40))
        record(plan(workers, urgentReserve = 0).let { it.copy(assignments = it.assignments.map { a -> a.first(17) }) })

        val routine = plan(workers, urgentReserve = 8)
        assertEquals(7, routine.assignments.single().workers.size, "one of four workers stays free")
        record(routine)
        workload.submit("urgent", "now", step(tasks = 1, accelerators = 8, gang = true))
        val urgent = plan(workers, urgentReserve = 8)
        assertEquals("now", urgent.assignments.first().step.job)
        assertTrue(urgent.preempted.isEmpty())
    }

    @Test
    fun `nothing is reserved for urgent jobs while half of the fleet is free`() {
        workload.submit("routine", "a", step(tasks = 2, accelerators = 8))

        assertEquals(2, plan(listOf(report("1"), report("2")), urgentReserve = 16).assignments.single().workers.size)
    }

    @Test
    fun `the reserve follows the urgent demand and drops to zero after it`() {
        workload.submit("urgent", "now", step(tasks = 2, accelerators = 8))
        var demand = UrgentDemand().observed(workload.state.jobs.values, workload.nowMillis)
        assertEquals(24, demand.reserve(workload.state.jobs.values))

        workload.apply(WorkloadCommand.CancelJob(address("urgent", "now")))
        for (afterMillis in 1_000L..12_000L step 500) {
            demand = demand.observed(workload.state.jobs.values, workload.nowMillis + afterMillis)
        }
        assertEquals(0, demand.reserve(workload.state.jobs.values))
    }

    private fun Assignment.first(count: Int) = copy(workers = workers.entries.take(count).associate { it.toPair() })

    @Test
    fun `an urgent task for a whole worker preempts the work of one worker only`() {
        val workers = listOf(report("1"), report("2"), report("3"))
        workload.submit("routine", "small", longStep(tasks = 24))
        record(plan(workers))
        workload.submit("urgent", "now", step(tasks = 1, accelerators = 8, gang = true))

        val preempted = plan(workers).preempted
        val workerIds = preempted.map { workload.job("small").task(it.task)?.worker?.id }.toSet()
        assertEquals(8, preempted.size)
        assertEquals(1, workerIds.size)
    }

    @Test
    fun `small tasks do not use the resources that a waiting gang of higher priority needs`() {
        workload.withCatalog(catalog(version = 2, queues = listOf(queue("gangs", 1), queue("routine", 2))))
        val workers = listOf(report("1"), report("2"))
        workload.submit("routine", "old", step(tasks = 1, accelerators = 8))
        record(plan(workers))
        workload.submit("gangs", "wide", step(tasks = 2, accelerators = 8, gang = true))
        workload.submit("routine", "small", step(tasks = 4))
        assertTrue(plan(workers).assignments.isEmpty())

        workload.end("old", index = 0, run = 1, kind = EndKind.DONE)
        assertEquals(listOf("wide"), plan(workers).assignments.map { it.step.job })
    }
}
