package org.auburnlever.workload.placement

import org.auburnlever.model.DomainName
import org.auburnlever.workload.SchedulingFeature
import org.auburnlever.workload.Workload
import org.auburnlever.workload.interference.NeighbourEvidence
import org.auburnlever.workload.learning.DeclaredDurations
import org.auburnlever.workload.learning.DurationForecast
import org.auburnlever.workload.planning.PlanningInput
import org.auburnlever.workload.planning.planWork
import org.auburnlever.workload.report
import org.auburnlever.workload.runs.WorkerReport
import org.auburnlever.workload.runs.WorkerView
import org.auburnlever.workload.state.Resources
import org.auburnlever.workload.state.WorkloadCommand
import org.auburnlever.workload.step
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ScarcePlacementTest {
    private val on = setOf(SchedulingFeature.SCARCE_PLACEMENT)
    private val workload = Workload().withCatalog()

    private fun input(vararg workers: WorkerReport, speeds: List<Int> = listOf(100)) = PlanningInput(
        workload.state.jobs.values,
        workers.map { WorkerView(it.ref, it, lastContactMillis = workload.nowMillis) },
        features = on,
        durations = object : DurationForecast by DeclaredDurations {
            override fun speedPercent(workerId: String) = speeds[(workerId.toInt() - 1) % speeds.size]
        },
    )

    private fun placed(input: PlanningInput, record: Boolean = true) = planWork(input, workload.nowMillis).let { plan ->
        if (record) workload.apply(WorkloadCommand.Assign(plan.assignments))
        plan.assignments.flatMap { it.workers.values }.map { it.id }.sorted()
    }

    private fun cores(tasks: Int, cores: Long, accelerators: Int) =
        step(tasks, accelerators).copy(need = Resources(cores * 1_000, 1_000, accelerators))

    /** Guards against a choice by free accelerators alone, which takes the last room of tasks that need many cores. */
    @Test
    fun `a task of few cores goes where no task of many cores fits`() {
        val workers = Array(3) { report("${it + 1}").copy(capacity = Resources(64_000, 128_000, 8)) }
        workload.submit("routine", "a", cores(tasks = 1, cores = 32, accelerators = 4))
        workload.assign("a", 1, mapOf(0 to "2"))
        workload.submit("routine", "b", cores(tasks = 2, cores = 26, accelerators = 1))
        workload.assign("b", 1, mapOf(0 to "3", 1 to "3"))
        workload.submit("routine", "c", cores(tasks = 1, cores = 5, accelerators = 4))
        assertEquals(listOf("2"), placed(input(*workers).copy(features = emptySet()), record = false))
        assertEquals(listOf("3"), placed(input(*workers)))
    }

    @Test
    fun `members of a gang get workers of like speed and urgent tasks without slack the fastest`() {
        val workers = Array(6) { report("${it + 1}") }
        workload.submit("routine", "a", step(tasks = 3, accelerators = 8, gang = true))
        val gang = placed(input(*workers, speeds = listOf(80, 125)))
        assertEquals(1, gang.map { it.toInt() % 2 }.distinct().size, "$gang")
        val other = Workload().withCatalog()
        other.submit("urgent", "b", step(tasks = 1).copy(estimatedMillis = 60_000))
        other.nowMillis += 62_000
        val input = input(*workers, speeds = listOf(80, 125, 100)).copy(jobs = other.state.jobs.values)
        assertTrue(planWork(input, other.nowMillis).assignments.single().workers.values.single().id in listOf("2", "5"))
    }

    @Test
    fun `workers with harmful neighbours or in a failure domain that is leaving get work only if no other has room`() {
        workload.submit("routine", "a", step(tasks = 1, accelerators = 8))
        val harm = NeighbourEvidence { _, worker -> if (worker == "1") 30 else 0 }
        assertEquals(listOf("2"), placed(input(report("1"), report("2")).copy(neighbours = harm)))
        workload.submit("routine", "b", step(tasks = 1, accelerators = 8))
        assertEquals(listOf("1"), placed(input(report("1"), report("2")).copy(neighbours = harm)))

        val views = listOf(report("3"), report("4", draining = true)).map { WorkerView(it.ref, it) }
        assertEquals(mapOf(DomainName("a") to 50), leavingPercent(views, nowMillis = 0))
        workload.submit("routine", "c", step(tasks = 1, accelerators = 8))
        val workers = input(report("3"), report("5").copy(failureDomain = DomainName("b")))
        assertEquals(listOf("5"), placed(workers.copy(leavingPercent = leavingPercent(views, nowMillis = 0))))
    }

    @Test
    fun `a step that is slow on several racks waits for one as long as its answer is of use`() {
        workload.submit("routine", "old", step(tasks = 2, accelerators = 8).copy(estimatedMillis = 90_000))
        placed(input(report("1", "r1"), report("3", "r2")))
        val workers = arrayOf(report("1", "r1"), report("2", "r1"), report("3", "r2"), report("4", "r2"))
        workload.submit("routine", "a", step(tasks = 2, accelerators = 8, rackSensitive = true))
        assertEquals(emptyList(), placed(input(*workers)))
        workload.nowMillis += 20_000
        assertEquals(listOf("2", "4"), placed(input(*workers)))
    }

    /** Guards against steps that are spread over racks under load and then run three times as long. */
    @Test
    fun `under more load than the fleet has both deployments earn more and end as many gangs`() {
        for ((name, site) in mapOf("sensors" to SENSORS, "lending" to LENDING)) {
            val runs = listOf(1L, 2L).map { seed ->
                PlacementReplay(site, seed, LOAD).run(emptySet()) to PlacementReplay(site, seed, LOAD).run(on)
            }
            println("$name, served share of the worth and ended gangs, without and with scarce placement: $runs")
            val gain = runs.sumOf { (without, with) -> with.first - without.first } / runs.size
            assertTrue(gain > 0.1, "$name gains $gain")
            assertTrue(runs.sumOf { (without, with) -> with.second - without.second } >= 0, "$name ends fewer gangs")
        }
    }

    private companion object {
        const val LOAD = 1.3

        fun cpu(cores: Double, gigabytes: Double) = Resources((cores * 1000).toLong(), (gigabytes * 1000).toLong(), 1)

        val SENSORS = Site(
            capacity = Resources(64_000, 128_000, 8),
            perRack = 12,
            speeds = listOf(100, 100, 130),
            queues = listOf(
                QueueLoad(Callers.URGENT, 6.61, 5, 2_500, cpu(7.5, 15.0), 90),
                QueueLoad(Callers.GANG, 1.55, 13, 6_800, cpu(26.0, 38.0), 90),
                QueueLoad(Callers.BATCH, 1.52, 51, 6_100, cpu(5.6, 8.2), 20),
            ),
        )
        val LENDING = Site(
            capacity = Resources(32_000, 64_000, 8),
            perRack = 8,
            speeds = listOf(80, 100, 125),
            queues = listOf(
                QueueLoad(Callers.URGENT, 6.78, 5, 2_100, cpu(3.7, 7.6), 50),
                QueueLoad(Callers.GANG, 1.02, 13, 9_400, cpu(13.0, 26.0), 20),
                QueueLoad(Callers.BATCH, 1.0, 51, 8_100, cpu(2.8, 5.7), 90),
            ),
        )
    }
}
