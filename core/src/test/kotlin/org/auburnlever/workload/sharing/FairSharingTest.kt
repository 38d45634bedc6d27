package org.auburnlever.workload.sharing

import org.auburnlever.model.AccountName
import org.auburnlever.workload.ReplayFleet
import org.auburnlever.workload.SchedulingFeature
import org.auburnlever.workload.address
import org.auburnlever.workload.learning.DeclaredDurations
import org.auburnlever.workload.state.WorkloadCommand
import org.auburnlever.workload.step
import kotlin.system.measureNanoTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Replays accounts that compete for four workers of 8 accelerators. */
class FairSharingTest {
    private val small = List(9) { "small$it" }
    private val task = step(tasks = 8).copy(estimatedMillis = 2_000)

    private fun fleet(vararg features: SchedulingFeature, guarantee: Int = 0) =
        ReplayFleet(workers = 4, mapOf("large" to guarantee) + small.associateWith { 0 }, features.toSet())

    /** A burst of [burst] jobs of one account and, [laterMillis] after it, one job of each small account. */
    private fun smallJobsInTime(fleet: ReplayFleet, burst: Int, laterMillis: Long): Int {
        repeat(burst) { fleet.submit("large", "routine", task) }
        fleet.play(laterMillis)
        val ids = small.map { fleet.submit(it, "routine", task) }
        fleet.play(15_000)
        // Nine jobs of 2 s take three rounds on four workers; the large account's own part adds one job.
        return fleet.endedWithin(ids, millis = 10_500)
    }

    /** Guards against a burst of one account that goes ahead of all others of its priority. */
    @Test
    fun `a burst of one account leaves nine small ones their share`() {
        assertEquals(0, smallJobsInTime(fleet(), burst = 60, laterMillis = 100))
        assertEquals(9, smallJobsInTime(fleet(SchedulingFeature.FAIR_SHARING), burst = 60, laterMillis = 100))
    }

    /** Guards against an order that only looks at who waits, and forgets who has had the fleet so far. */
    @Test
    fun `small accounts that arrive in the middle of a burst go ahead of the rest of it`() {
        assertEquals(9, smallJobsInTime(fleet(SchedulingFeature.FAIR_SHARING), burst = 60, laterMillis = 6_000))
    }

    /** Guards against room that stays idle for accounts that do not use it. */
    @Test
    fun `a burst has the whole fleet while nobody else waits`() {
        val fleet = fleet(SchedulingFeature.FAIR_SHARING)
        val ids = List(20) { fleet.submit("large", "routine", task) }
        fleet.play(millis = 10_500)

        // Four jobs at a time, each for 2 s.
        assertEquals(20, fleet.endedWithin(ids, millis = 10_500))
    }

    /** Guards against a guarantee that is counted as excess, and against one that covers the rest of a burst. */
    @Test
    fun `an account with a guarantee gets it before its equal part, and waits with what exceeds both`() {
        fun rankWith(guarantee: Int): Int {
            val fleet = fleet(SchedulingFeature.FAIR_SHARING, guarantee = guarantee)
            small.forEach { fleet.submit(it, "routine", step(tasks = 1).copy(estimatedMillis = 20_000)) }
            repeat(2) { fleet.submit("large", "routine", step(tasks = 8).copy(estimatedMillis = 20_000)) }
            fleet.play(millis = 300)
            return fleet.shares().rank(AccountName("large"))
        }

        assertEquals(0, rankWith(guarantee = 16))
        assertTrue(rankWith(guarantee = 0) > 0)
    }

    /** Guards against an account that escapes its rank by canceling what it has run. */
    @Test
    fun `work that an account cancels still counts, and what it never started does not`() {
        val fleet = fleet(SchedulingFeature.FAIR_SHARING)
        val long = step(tasks = 8).copy(estimatedMillis = 20_000)
        val ids = List(40) { fleet.submit("large", "routine", long) }
        fleet.play(millis = 300)
        val waiting = small.map { account -> account to fleet.submit(account, "routine", long) }
        fleet.play(millis = 8_000)
        ids.forEach { fleet.workload.apply(WorkloadCommand.CancelJob(address("routine", it, "large"))) }
        assertTrue(fleet.shares().rank(AccountName("large")) > 0)

        waiting.forEach { (account, id) ->
            fleet.workload.apply(WorkloadCommand.CancelJob(address("routine", id, account)))
        }
        assertTrue(small.all { fleet.shares().usedPart(AccountName(it)) == 0.0 })
    }

    /** Guards against ranks that a new leader computes from less than its predecessor knew. */
    @Test
    fun `shares do not change with the leader, although half of the workers have not reported yet`() {
        val fleet = fleet(SchedulingFeature.FAIR_SHARING)
        repeat(30) { fleet.submit("large", "routine", task) }
        fleet.play(millis = 3_000)
        val state = fleet.workload.state
        val before = fleet.shares()
        val after = AccountShares.of(
            state.jobs.values,
            fleet.views().take(2),
            emptyMap(),
            DeclaredDurations,
            state.nowMillis,
        )

        val large = AccountName("large")
        assertEquals(before.usedPart(large), after.usedPart(large), absoluteTolerance = 0.01)
    }

    /** Guards against a computation that costs a leader on a small machine more than its plans. */
    @Test
    fun `the shares of a minute of the heaviest load take little time`() {
        val fleet = fleet(SchedulingFeature.FAIR_SHARING)
        repeat(700) { fleet.submit(small[it % 9], "routine", step(tasks = 13).copy(estimatedMillis = 300)) }
        fleet.play(millis = 30_000)
        val tookMicros = List(200) { measureNanoTime { fleet.shares() } / 1_000 }.sorted()
        println("account shares of 700 jobs: p50 ${tookMicros[100]} us, p95 ${tookMicros[190]} us")

        assertTrue(tookMicros[100] < 5_000)
    }
}
