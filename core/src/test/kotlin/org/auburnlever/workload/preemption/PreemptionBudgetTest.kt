package org.auburnlever.workload.preemption

import org.auburnlever.workload.SchedulingFeature
import org.auburnlever.workload.Workload
import org.auburnlever.workload.planning.PlanningInput
import org.auburnlever.workload.planning.WorkPlan
import org.auburnlever.workload.planning.planWork
import org.auburnlever.workload.ref
import org.auburnlever.workload.report
import org.auburnlever.workload.runs.WorkerView
import org.auburnlever.workload.state.EndKind
import org.auburnlever.workload.step
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Replays both deployments' load, and single bursts, with and without the feature. */
class PreemptionBudgetTest {
    private fun compare(site: ReplaySite, pattern: Pattern, maxLostPercent: Int, minWorthGain: Double) {
        val (off, on) = listOf(false, true).map { feature ->
            SEEDS.map { LoadReplay(site, pattern, feature, it).result() }
        }
        val lost = off.sumOf { it.lostCoreSeconds } to on.sumOf { it.lostCoreSeconds }
        assertTrue(lost.second * 100 <= lost.first * maxLostPercent, "core-seconds discarded: $lost")
        assertTrue(on.sumOf { it.urgentOnTime } >= off.sumOf { it.urgentOnTime }, "urgent jobs on time: $off, $on")
        assertTrue(on.sumOf { it.worth } >= off.sumOf { it.worth + minWorthGain }, "worth: $off, $on")
        assertEquals(0, on.sumOf { it.overdue }, "guaranteed jobs that did not begin in time")
    }

    /** Guards against urgent jobs that discard several percent of the fleet's capacity on a day without trouble. */
    @Test
    fun `a wave of urgent jobs discards less than a fifth`() {
        compare(LENDING, Pattern(wave = 0.55, load = 1.2), maxLostPercent = 20, minWorthGain = 0.0)
        compare(SENSORS, Pattern(wave = 0.55, load = 1.2), maxLostPercent = 20, minWorthGain = -0.005)
    }

    /** Guards against a burst on a busy fleet whose guaranteed jobs each stop gangs. */
    @Test
    fun `a burst of urgent jobs discards less than a fifth`() {
        compare(LENDING, Pattern(burst = 2.6, load = 1.5), maxLostPercent = 20, minWorthGain = 0.0)
        compare(SENSORS, Pattern(burst = 2.6, load = 1.5), maxLostPercent = 20, minWorthGain = -0.005)
    }

    /** Guards against rules that hold only where tasks save checkpoints, or where few jobs are guaranteed. */
    @Test
    fun `other mixes of checkpoints and guarantees discard less than a third`() {
        val none = Pattern(burst = 2.6, load = 1.2, checkpointPercent = 0)
        val unguaranteed = Pattern(burst = 2.6, load = 1.2, guaranteedPercent = 10, checkpointPercent = 90)
        compare(LENDING, none, maxLostPercent = 33, minWorthGain = 0.0)
        compare(LENDING, unguaranteed, maxLostPercent = 33, minWorthGain = 0.0)
    }

    private val workload = Workload(nowMillis = 100_000).withCatalog()
    private val views = List(8) { WorkerView(ref("$it"), report("$it", "r$it"), lastContactMillis = 100_000) }

    private fun plan(control: PreemptionControl, feature: Boolean = true): WorkPlan {
        val features = if (feature) setOf(SchedulingFeature.PREEMPTION_BUDGET) else emptySet()
        val jobs = workload.state.jobs.values
        return planWork(PlanningInput(jobs, views, features = features, preemption = control), workload.nowMillis)
    }

    private fun fillWithGangs() {
        repeat(4) { gang ->
            workload.submit("routine", "g$gang", step(2, accelerators = 8, gang = true).copy(estimatedMillis = 60_000))
            workload.assign("g$gang", run = 1, workers = mapOf(0 to "$gang", 1 to "${gang + 4}"))
        }
        workload.nowMillis += 200
    }

    /** Guards against a burst of small jobs each of which stops another gang. */
    @Test
    fun `small urgent jobs share the room of one gang`() {
        fillWithGangs()
        repeat(4) { workload.submit("urgent", "u$it", step(tasks = 1, accelerators = 4)) }
        val budget = PreemptionControl().updated(workload.state.jobs.values, views, workload.nowMillis)

        assertEquals(1, plan(budget).preempted.map { it.task.job }.distinct().size)
        assertTrue(plan(budget, feature = false).preempted.map { it.task.job }.distinct().size > 1)
    }

    /** Guards against urgent jobs that together discard more than each of them may. */
    @Test
    fun `nothing is stopped without budget, and the plan says so`() {
        fillWithGangs()
        workload.submit("urgent", "u", step(tasks = 1, accelerators = 4))
        val plan = plan(PreemptionControl(PreemptionBudget(0, workload.nowMillis)))

        assertTrue(plan.preempted.isEmpty())
        assertEquals(listOf(DenialReason.BUDGET), plan.preemption.denied.map { it.reason })
    }

    /** Guards against a series of leaders each of which starts with a full budget. */
    @Test
    fun `a new leader counts what was discarded shortly before`() {
        val full = PreemptionBudget.rebuilt(workload.state.jobs.values, CAPACITY, workload.nowMillis)
        workload.submit("routine", "g", step(1, accelerators = 8))
        workload.assign("g", run = 1, workers = mapOf(0 to "0"))
        workload.nowMillis += 2_000
        workload.end("g", index = 0, run = 1, kind = EndKind.STOPPED)

        val left = PreemptionBudget.rebuilt(workload.state.jobs.values, CAPACITY, workload.nowMillis)
        assertEquals(2_000 * 65_000L, full.leftMilliCoreMillis - left.leftMilliCoreMillis)
        assertEquals(full.leftMilliCoreMillis, left.refilled(CAPACITY, workload.nowMillis + 60_000).leftMilliCoreMillis)
    }

    private companion object {
        val SEEDS = 1..3
        const val CAPACITY = 23_616_000L
    }
}
