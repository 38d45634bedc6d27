package org.auburnlever.workload.holds

import org.auburnlever.model.AccountName
import org.auburnlever.model.ServiceName
import org.auburnlever.workload.SERVICE
import org.auburnlever.workload.SchedulingFeature
import org.auburnlever.workload.Workload
import org.auburnlever.workload.WorkloadLimits
import org.auburnlever.workload.catalog
import org.auburnlever.workload.planning.PlanningInput
import org.auburnlever.workload.planning.WorkPlan
import org.auburnlever.workload.planning.planWork
import org.auburnlever.workload.queue
import org.auburnlever.workload.report
import org.auburnlever.workload.runs.WorkerView
import org.auburnlever.workload.state.Catalog
import org.auburnlever.workload.state.CatalogService
import org.auburnlever.workload.state.EndKind
import org.auburnlever.workload.state.Resources
import org.auburnlever.workload.state.RunEnd
import org.auburnlever.workload.state.TaskId
import org.auburnlever.workload.state.TaskRun
import org.auburnlever.workload.state.WorkloadCommand
import org.auburnlever.workload.step
import org.junit.jupiter.api.Tag
import java.lang.management.ManagementFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class HoldReviewTest {
    private val workload = Workload(nowMillis = 100_000).withCatalog()
    private val workers = listOf("1", "2", "3", "4").map { WorkerView(report(it).ref, report(it)) }
    private val threads = ManagementFactory.getThreadMXBean()
    private val long = step(tasks = 1, accelerators = 3).copy(estimatedMillis = 90_000)

    private fun input(vararg features: SchedulingFeature) = PlanningInput(
        workload.state.jobs.values,
        workers,
        limits = WorkloadLimits(reclaimMillis = 5_000),
        guarantees = mapOf(AccountName("pier") to 8),
        features = features.toSet(),
    )

    private fun plan(input: PlanningInput = input()): WorkPlan = planWork(input, workload.nowMillis)

    private fun placedJobs(plan: WorkPlan) = plan.assignments.map { it.step.job }

    /** Leaves 5 accelerators free on each worker, and four tasks that need as many on each. */
    private fun occupy() {
        workload.submit("routine", "a", long.copy(taskCount = 4))
        workload.assign("a", run = 1, workers = mapOf(0 to "1", 1 to "2", 2 to "3", 3 to "4"))
        workload.submit("routine", "b", step(tasks = 4, accelerators = 5).copy(estimatedMillis = 90_000))
    }

    @Test
    fun `a routine task takes the room that is gathered for a guaranteed urgent job`() {
        occupy()
        workload.submit("urgent", "u", step(tasks = 1, accelerators = 8))
        val early = plan()
        assertEquals(3, early.assignments.single().workers.size)
        workload.apply(WorkloadCommand.Assign(early.assignments))
        workload.nowMillis += 3_200

        val plan = plan()
        assertEquals("u", plan.preemptedFor.values.single().job)
        assertEquals(emptyList(), placedJobs(plan))
    }

    @Test
    fun `room of a new urgent job is lost because an older one waits for longer`() {
        workload.submit("urgent", "a-wide", step(tasks = 33, gang = true))
        occupy()
        val joint = { input(SchedulingFeature.PREEMPTION_BUDGET).copy(guarantees = emptyMap()) }
        workload.nowMillis += HoldLimit.MAX_HOLD_MILLIS
        workload.submit("urgent", "u", step(tasks = 1, accelerators = 8))
        val plan = plan(joint())

        assertTrue(plan.holds.any { it.rule == HoldRule.URGENT_STEP })
        assertEquals(3, plan.assignments.filter { it.step.job == "b" }.sumOf { it.workers.size })
    }

    @Test
    @Tag("known-red")
    fun `an urgent job keeps room for as long as it waits if preemptions are decided jointly`() {
        workload.submit("routine", "a", long.copy(taskCount = 4, need = Resources(70_000, 1_000, 5)))
        workload.assign("a", run = 1, workers = mapOf(0 to "1", 1 to "2", 2 to "3", 3 to "4"))
        workload.submit("urgent", "u", step(tasks = 4, accelerators = 8, gang = true))
        workload.submit("routine", "z", step(tasks = 1))
        workload.nowMillis += HoldRule.URGENT_STEP.limitMillis + 1

        val plan = plan(input(SchedulingFeature.PREEMPTION_BUDGET))
        assertEquals(listOf("z"), placedJobs(plan), "${plan.holds}")
    }

    @Test
    fun `a later step of an urgent job loses its room at once`() {
        workload.submit("urgent", "u", step(tasks = 1), step(tasks = 1, accelerators = 8, dependsOn = listOf(0)))
        workload.assign("u", run = 1, workers = mapOf(0 to "1"))
        workload.nowMillis += 4_000
        occupy()
        workload.nowMillis += HoldLimit.MAX_HOLD_MILLIS
        workload.end("u", index = 0, run = 1, kind = EndKind.DONE)

        val plan = plan()
        assertTrue(plan.holds.any { it.rule == HoldRule.URGENT_STEP })
        assertEquals(3, plan.assignments.filter { it.step.job == "b" }.sumOf { it.workers.size })
    }

    @Test
    @Tag("known-red")
    fun `a refused start lets a job wait anew`() {
        workload.submit("routine", "a", step(tasks = 1))
        workload.assign("a", run = 1, workers = mapOf(0 to "1"))
        workload.nowMillis += HoldLimit.MAX_HOLD_MILLIS - 100
        val refused = RunEnd(TaskRun(TaskId("a", 0, 0, 0), 1), EndKind.LOST, checkpoint = "", unseen = true)
        workload.apply(WorkloadCommand.RecordEnds(listOf(refused)))
        workload.nowMillis += 100
        val suspended = workers.map {
            LeftOutWorker(it, HoldRule.SUSPENDED_WORKER, report("1").capacity, "b", workload.nowMillis + 40_000)
        }

        assertEquals(listOf("a"), placedJobs(plan(input().copy(workers = emptyList(), leftOut = suspended))))
    }

    @Test
    fun `a gang of one task stands still while its data rack is full`() {
        val racks = workers.map { it.copy(report = it.report?.copy(labels = listOf("k", "r${it.ref.id}"))) }
        workload.submit("routine", "a", long.copy(need = Resources(1_000, 1_000, 8)))
        workload.assign("a", run = 1, workers = mapOf(0 to "1"))
        workload.submit("routine", "gang", step(tasks = 1, gang = true).copy(dataRack = "r1"))
        workload.nowMillis += HoldLimit.MAX_HOLD_MILLIS

        assertEquals(listOf("gang"), placedJobs(plan(input().copy(workers = racks))))
    }

    @Test
    fun `an idle service without accelerators stands still because those of another are kept for urgent jobs`() {
        val cores = ServiceName("cores")
        val queues = listOf(queue("urgent", 0), queue("routine", 2), queue("plain", 2).copy(service = cores))
        val services = listOf(SERVICE, cores).map { CatalogService(it, enforcesCapacity = true) }
        val catalog: Catalog = catalog(version = 2, queues = queues).copy(services = services)
        workload.apply(WorkloadCommand.ChangeCatalog(catalog, "document 2"))
        workload.submit("routine", "a", step(tasks = 2, accelerators = 8))
        workload.assign("a", run = 1, workers = mapOf(0 to "1", 1 to "2"))
        workload.submit("plain", "p", step(tasks = 1, accelerators = 0))
        val fleet = workers.map { view ->
            val report = view.report!!
            val plain = report.copy(service = cores, capacity = report.capacity.copy(accelerators = 0))
            if (view.ref.id in setOf("3", "4")) view.copy(report = plain) else view
        }
        workload.nowMillis += HoldLimit.MAX_HOLD_MILLIS

        assertEquals(listOf("p"), placedJobs(plan(input().copy(workers = fleet, urgentReserve = 1))))
    }

    @Test
    fun `the plan takes seconds because a step has many tasks`() {
        workload.submit("routine", "many", step(tasks = 20_000, accelerators = 9))
        workload.nowMillis += HoldLimit.MAX_HOLD_MILLIS
        val suspended = LeftOutWorker(workers[0], HoldRule.SUSPENDED_WORKER, report("1").capacity, "b", 1_000_000)
        val input = input().copy(workers = workers.drop(1), leftOut = listOf(suspended))
        repeat(2) { plan(input) }
        val beganNanos = threads.currentThreadCpuTime
        plan(input)
        val tookMillis = (threads.currentThreadCpuTime - beganNanos) / 1_000_000

        assertTrue(tookMillis < 500, "$tookMillis ms")
    }

    @Test
    fun `the plan for many workers takes much longer because waiting steps are overdue`() {
        val many = (1..246).map { WorkerView(report("$it", rack = "r${it % 20}").ref, report("$it", "r${it % 20}")) }
        workload.submit("routine", "a", long.copy(taskCount = 246, need = Resources(1_000, 1_000, 3)))
        workload.assign("a", run = 1, workers = (0 until 246).associateWith { "${it + 1}" })
        repeat(500) { workload.submit("routine", "w$it", step(tasks = 2, accelerators = 6, gang = it % 2 == 0)) }
        val suspended = many.take(200).map {
            LeftOutWorker(it, HoldRule.SUSPENDED_WORKER, report("1").capacity, "b", 1_000_000)
        }
        val fleet = { input().copy(workers = many.drop(200), leftOut = suspended) }
        val measure = {
            repeat(5) { plan(fleet()) }
            val beganNanos = threads.currentThreadCpuTime
            repeat(5) { plan(fleet()) }
            (threads.currentThreadCpuTime - beganNanos) / 5_000
        }
        val early = measure()
        workload.nowMillis += HoldLimit.MAX_HOLD_MILLIS
        val late = measure()
        assertTrue(late < early + 10_000, "$early us before the limit, $late us after it")
    }

    @Test
    @Tag("known-red")
    fun `a rack-sensitive gang gets suspended workers while others have room`() {
        val racks = mapOf("1" to "r1", "2" to "r1", "3" to "r2", "4" to "r2", "5" to "r3")
        val views = racks.map { (id, rack) -> WorkerView(report(id).ref, report(id, rack)) }
        val suspended = views.take(2).map {
            LeftOutWorker(it, HoldRule.SUSPENDED_WORKER, report("1").capacity, "b", 1_000_000)
        }
        workload.submit("routine", "a", step(tasks = 1))
        workload.assign("a", run = 1, workers = mapOf(0 to "3"))
        workload.submit("routine", "gang", step(tasks = 2, accelerators = 8, gang = true, rackSensitive = true))
        workload.nowMillis += HoldLimit.MAX_HOLD_MILLIS

        val plan = plan(input().copy(workers = views.drop(2), leftOut = suspended))
        assertEquals(setOf("4", "5"), plan.assignments.flatMap { it.workers.values }.map { it.id }.toSet())
    }

    @Test
    @Tag("known-red")
    fun `gangs that take turns keep the free room of a busy fleet for ever`() {
        val tasks = long.copy(need = Resources(16_000, 1_000, accelerators = 1))
        workload.submit("routine", "a", tasks.copy(taskCount = 20))
        workload.apply(WorkloadCommand.Assign(plan().assignments))
        repeat(6) {
            workload.submit("routine", "gang$it", tasks.copy(taskCount = 32, gang = true))
            workload.nowMillis += 5_000
        }
        workload.submit("routine", "z", tasks)
        val placed = (1..60).any {
            workload.nowMillis += 1_000
            "z" in placedJobs(plan())
        }

        assertTrue(placed, "no room for a ready task in 60 s")
    }
}
