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
import org.auburnlever.workload.state.Resources
import org.auburnlever.workload.state.WorkloadCommand
import org.auburnlever.workload.step
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import java.lang.management.ManagementFactory

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
}
