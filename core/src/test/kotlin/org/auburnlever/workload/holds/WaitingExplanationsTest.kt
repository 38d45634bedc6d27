package org.auburnlever.workload.holds

import org.auburnlever.workload.Workload
import org.auburnlever.workload.WorkloadLimits
import org.auburnlever.workload.planning.WorkPlan
import org.auburnlever.workload.ref
import org.auburnlever.workload.report
import org.auburnlever.workload.runs.LeaderState
import org.auburnlever.workload.runs.WorkerView
import org.auburnlever.workload.state.EndKind
import org.auburnlever.workload.state.StepId
import org.auburnlever.workload.state.TaskId
import org.auburnlever.workload.state.TaskRun
import org.auburnlever.workload.state.assign
import org.auburnlever.workload.step
import java.lang.management.ManagementFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class WaitingExplanationsTest {
    private val workload = Workload(nowMillis = 10_000).withCatalog()
    private val leader = LeaderState(term = 7, electedMillis = 1_000, WorkloadLimits())

    private fun worker(id: String, rack: String = "r1", change: (WorkerView) -> WorkerView = { it }) =
        leader.put(change(WorkerView(ref(id), report(id, rack), lastContactMillis = 10_000, leaseEndMillis = 14_000)))

    private fun hold(worker: String, rule: HoldRule, owner: String, untilMillis: Long? = 12_000) =
        RoomHold(worker, rule, owner, report(worker).capacity, untilMillis)

    /** Explains what waits after a plan that keeps [kept] and leaves out workers as the leader does. */
    private fun explain(vararg kept: RoomHold): Map<String, WaitingReason> {
        val leftOut = leader.leftOutWorkers(workload.state, emptyMap(), 10_000).map { it.hold() }
        val plan = WorkPlan(emptyList(), emptyMap(), holds = leftOut + kept)
        return WaitingExplanations(leader, workload.state, plan, 10_000, 10_000).since(10_000)
            .associate { it.step.job to it.reason }
    }

    @Test
    fun `room that a gang reserves is named with the gang, and not held against the gang itself`() {
        worker("1")
        worker("2")
        workload.submit("routine", "old", step(tasks = 1, accelerators = 8))
        workload.assign("old", 1, mapOf(0 to "1"))
        workload.submit("routine", "gang", step(tasks = 2, accelerators = 8, gang = true))
        workload.submit("routine", "next", step(tasks = 1, accelerators = 2))
        val hold = hold("2", HoldRule.GANG_RESERVATION, "gang.0.0")

        val reasons = explain(hold)
        assertEquals(WaitingReason.RoomKept(listOf(hold)), reasons["next"])
        assertEquals(WaitingReason.NoRoom(needed = 2, fitting = 1, emptyList()), reasons["gang"])
    }

    @Test
    fun `suspended and stalled workers, also partly used ones, are told apart with owner and end`() {
        val stalled = TaskRun(TaskId("slow", 0, 0, 0), 1)
        worker("1") { it.copy(suspendedUntilMillis = 11_000, failedJobs = setOf("bad")) }
        worker("2") { it.copy(stalledUntilMillis = 12_000, stalledRun = stalled) }
        worker("3") { it.copy(stalledUntilMillis = 12_000) }
        workload.submit("routine", "slow", step(tasks = 2, accelerators = 8))
        workload.assign("slow", 1, mapOf(0 to "3"))
        workload.submit("routine", "next", step(tasks = 1, accelerators = 8))

        val reason = explain().getValue("next")
        assertEquals(11_000, reason.untilMillis)
        assertEquals(
            listOf(
                "SUSPENDED_WORKER by bad until 11000: 8 accelerators, 128000 milli-cores on 1",
                "STALLED_WORKER by slow.0.0.0#1 until 12000: 8 accelerators, 128000 milli-cores on 2",
            ),
            reason.holds.describe().split("; "),
        )
    }

    @Test
    fun `room for expected urgent jobs is kept from other jobs only`() {
        worker("1")
        workload.submit("routine", "next", step(tasks = 1))
        workload.submit("urgent", "now", step(tasks = 1))

        val reasons = explain(hold("1", HoldRule.URGENT_DEMAND, "urgent jobs"))
        assertEquals(WaitingKind.ROOM_KEPT, reasons["next"]?.kind)
        assertEquals(WaitingKind.STARTING, reasons["now"]?.kind)
    }

    @Test
    fun `a full fleet, absent workers, an unknown label and room on several racks are told apart`() {
        worker("1")
        worker("2", "r2") { it.copy(failedPolls = 1) }
        workload.submit("routine", "old", step(tasks = 1, accelerators = 4))
        workload.assign("old", 1, mapOf(0 to "1"))
        workload.submit("routine", "next", step(tasks = 1, accelerators = 8))
        workload.submit("routine", "label", step(tasks = 1).copy(constraint = "other"))
        workload.submit("routine", "wide", step(tasks = 2, accelerators = 4, gang = true, rackSensitive = true))

        val reasons = explain()
        assertEquals(WaitingReason.WorkersAbsent(mapOf(Absence.UNREACHABLE to 1), emptyList()), reasons["next"])
        assertEquals(WaitingKind.NO_SUITABLE_WORKER, reasons["label"]?.kind)
        worker("2", "r2")
        workload.submit("routine", "other", step(tasks = 1, accelerators = 4))
        workload.assign("other", 1, mapOf(0 to "2"))
        assertEquals(WaitingKind.NO_ROOM, explain()["next"]?.kind)
        assertEquals(WaitingReason.Rack(dataRack = null), explain()["wide"])
    }

    @Test
    fun `a gang with a member whose run has not ended names the run, its worker and its lease`() {
        worker("1")
        worker("2")
        workload.submit("routine", "gang", step(tasks = 2, accelerators = 8, gang = true))
        workload.assign("gang", 1, mapOf(0 to "1", 1 to "2"))
        workload.end("gang", index = 0, run = 1, EndKind.LOST)

        val run = LeasedRun(TaskRun(TaskId("gang", 0, 0, 1), 1), "2", leaseEndMillis = 14_000)
        assertEquals(WaitingReason.GangEnding(listOf(run)), explain()["gang"])
    }

    @Test
    fun `a job that has started is explained by its next step, or by a silent worker`() {
        worker("1") { it.copy(failedCalls = 1) }
        worker("2")
        workload.submit("routine", "job", step(tasks = 1), step(tasks = 1, dependsOn = listOf(0)))
        workload.assign("job", 1, mapOf(0 to "2"))
        workload.submit("routine", "lost", step(tasks = 1).copy(longRunning = true))
        workload.assign("lost", 1, mapOf(0 to "1"))

        assertEquals(WaitingReason.EarlierSteps(listOf(0)), explain()["job"])
        assertEquals(WaitingKind.WORKER_SILENT, explain()["lost"]?.kind)
    }

    /** Guards against a log of many waiting steps that fills the queue of the log writer. */
    @Test
    fun `a summary of many waiting steps is bounded in lines and, at the median, takes less than 20 ms`() {
        repeat(246) { worker("$it", "r${it / 12}") }
        repeat(246) { workload.submit("routine", "old$it", step(tasks = 4, accelerators = 2)) }
        repeat(246) { job -> workload.assign("old$job", 1, (0 until 3).associateWith { "$job" }) }
        repeat(600) { workload.submit("routine", "job$it", step(tasks = 1 + it % 50, accelerators = 8)) }
        val holds = (0 until 30).map { hold("$it", HoldRule.GANG_RESERVATION, "job$it.0.0") }
        val plan = WorkPlan(emptyList(), emptyMap(), holds = holds)
        val threads = ManagementFactory.getThreadMXBean()
        val tookNanos = List(80) {
            val before = threads.currentThreadCpuTime
            val explanations = WaitingExplanations(leader, workload.state, plan, 10_000, 10_000).since(10_000)
            assertTrue(waitingLines(explanations, 10_000).size <= 40)
            threads.currentThreadCpuTime - before
        }.drop(40).sorted()
        println("summary for 246 workers: p50 ${tookNanos[20] / 1_000} us, p90 ${tookNanos[36] / 1_000} us")
        assertTrue(tookNanos[20] < 20_000_000)

        val distinct = List(3_000) {
            val reason = WaitingReason.RoomKept(listOf(hold("1", HoldRule.GANG_RESERVATION, "gang${it / 10}.0.0")))
            WaitingExplanation(StepId("job$it", 0, 0), tasks = 1, sinceMillis = it.toLong(), reason)
        }
        val lines = waitingLines(distinct, 10_000)
        assertEquals(40, lines.size)
        assertEquals("LEFT_OUT" to 1_800, lines.last().let { it.id to it.details["steps"] })
        assertEquals(3_000, lines.sumOf { it.details["steps"] as Int })
        assertTrue(lines.any { "job1100.0.0" in "${it.details["ids"]}" && "gang110.0.0" in "${it.details["holds"]}" })
        assertEquals(10, HeldSteps().updated(distinct, 10_000).second.size)
    }
}
