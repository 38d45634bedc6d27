package org.auburnlever.workload.admission

import org.auburnlever.workload.ReplayFleet
import org.auburnlever.workload.SchedulingFeature
import org.auburnlever.workload.state.JobPhase
import org.auburnlever.workload.state.Resources
import org.auburnlever.workload.state.StepSpec
import org.auburnlever.workload.state.WorkloadReply
import org.auburnlever.workload.step
import kotlin.random.Random
import kotlin.system.measureNanoTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/** Replays more work than a fleet can do, without a network. */
class RoomForecastTest {
    private val accounts = List(10) { "account$it" }
    private val features = setOf(SchedulingFeature.FAIR_SHARING, SchedulingFeature.ADMISSION_FORECAST)
    private val wholeWorker = step(tasks = 1, accelerators = 8)

    private fun fleet(workers: Int, actualMillis: (StepSpec) -> Long = { it.estimatedMillis }) =
        ReplayFleet(workers, accounts.associateWith { 0 }, features) { spec, _ -> actualMillis(spec) }

    /** Guards against refusals while there is room, and against jobs that wait until all of them end too late. */
    @Test
    fun `jobs are accepted until they would end too late, and as soon as there is room again`() {
        val fleet = fleet(workers = 2)
        val submitted = List(20) { fleet.submitIfInTime("account${it % 10}", "routine", wholeWorker) }
        fleet.play(millis = 100)

        // The objective is 5 s, so a job is accepted if it starts within 8 s: five rounds on two workers.
        assertTrue(submitted.take(8).all { it.accepted })
        assertTrue(submitted.drop(10).none { it.accepted })
        fleet.play(millis = 12_000)
        assertTrue(fleet.submitIfInTime("account0", "routine", wholeWorker).accepted)
    }

    /** Guards against a forecast that adds up room of many workers that no task can use. */
    @Test
    fun `room that is split over workers does not count for a task that needs a whole one`() {
        val fleet = fleet(workers = 4)
        val narrow = step(tasks = 4).copy(estimatedMillis = 20_000, maxTasksPerWorker = 1)
        fleet.submit("account0", "routine", narrow)
        fleet.play(millis = 200)

        assertFalse(fleet.submitIfInTime("account1", "gangs", wholeWorker).accepted)
        assertTrue(fleet.submitIfInTime("account1", "gangs", step(tasks = 1, accelerators = 7)).accepted)
    }

    /** Guards against a caller that is told different times by different hosts or leaders, or jumps the queue. */
    @Test
    fun `a caller that comes back early gets the rest of its time, also from a new leader`() {
        val fleet = fleet(workers = 1)
        repeat(20) { fleet.submit("account0", "routine", wholeWorker) }
        fleet.play(millis = 200)
        val first = fleet.submitIfInTime("account1", "routine", wholeWorker)
        val returnMillis = assertNotNull(assertIs<WorkloadReply.NotAdmitted>(first.reply).returnMillis)
        fleet.play(millis = 500)

        // Each submission is decided by a new AdmissionControl, which knows only the replicated state.
        val again = fleet.submitIfInTime("account1", "routine", wholeWorker, first.id)
        assertEquals(returnMillis, assertIs<WorkloadReply.NotAdmitted>(again.reply).returnMillis)
        assertEquals(first.id, fleet.workload.state.returns.keys.single())
    }

    /** Guards against callers that are all asked back at the same moment. */
    @Test
    fun `callers of one moment are asked back one after another, the more important ones first`() {
        val fleet = fleet(workers = 1)
        repeat(40) { fleet.submit("account0", "gangs", wholeWorker) }
        fleet.play(millis = 200)
        val times = List(3) { fleet.submitIfInTime("account1", "routine", wholeWorker) }.map { it.id }
            .map { fleet.workload.state.returns.getValue(it).returnMillis }
        val gang = fleet.submitIfInTime("account1", "gangs", wholeWorker).id

        assertTrue(times[0] < times[1] && times[1] < times[2])
        assertTrue(fleet.workload.state.returns.getValue(gang).returnMillis < times[1])
    }

    /** Guards against a return schedule that grows with each rejected job for as long as an overload lasts. */
    @Test
    fun `the return schedule is bounded`() {
        val fleet = fleet(workers = 1)
        repeat(20) { fleet.submit("account0", "routine", wholeWorker) }
        fleet.play(millis = 200)
        repeat(1_100) { fleet.submitIfInTime("account1", "routine", wholeWorker) }

        assertEquals(1_000, fleet.workload.state.returns.size)
    }

    /** Urgent jobs, gangs and batches at [load] times what 24 workers can do, for 20 s; durations vary by 40%. */
    private fun overload(load: Double, admission: Boolean): Pair<Int, ForecastErrors> {
        val random = Random(SEED)
        val fleet = fleet(workers = 24) { (it.estimatedMillis * (0.6 + random.nextDouble() * 0.8)).toLong() }
        val need = { cores: Long -> Resources(cores * 2_000, memoryMiB = 30_000, accelerators = 1) }
        val kinds = listOf(
            "urgent" to step(tasks = 5, accelerators = 2).copy(estimatedMillis = 2_500),
            "gangs" to step(tasks = 13, gang = true).copy(estimatedMillis = 6_800, need = need(26)),
            "routine" to step(tasks = 39).copy(estimatedMillis = 6_100, need = need(6)),
        )
        val submitted = ArrayList<ReplayFleet.Submitted>()
        fleet.play(millis = 20_000) {
            kinds.forEach { (queue, spec) ->
                if (random.nextDouble() < load * ARRIVAL) {
                    val account = accounts.random(random)
                    if (admission) {
                        submitted += fleet.submitIfInTime(account, queue, spec)
                    } else {
                        submitted += ReplayFleet.Submitted(fleet.submit(account, queue, spec), 0, WorkloadReply.Done)
                    }
                }
            }
        }
        fleet.play(millis = 30_000)
        val errors = ForecastErrors()
        val onTime = submitted.filter { it.accepted }.map { it to fleet.workload.job(it.id) }.count { (job, record) ->
            errors.expect(job.id, job.forecastEndMillis)
            if (record.phase == JobPhase.SUCCEEDED) errors.ended(job.id, record.endedMillis)
            record.phase == JobPhase.SUCCEEDED && record.endedMillis <= record.objectiveMillis()
        }
        val rejected = submitted.count { !it.accepted }
        println("load $load, admission $admission: ${submitted.size} jobs, $rejected rejected, $onTime in time")
        return onTime to errors
    }

    /** Guards against forecasts that are far off, and against admission that serves fewer callers in time than none. */
    @Test
    fun `under overload the forecast is close and admission costs no answers in time`() {
        val (withAdmission, errors) = overload(load = 4.0, admission = true)
        val (without, _) = overload(load = 4.0, admission = false)
        val p50Millis = assertNotNull(errors.percentileMillis(50))
        val p99Millis = assertNotNull(errors.percentileMillis(99))
        println("forecast error: p50 $p50Millis ms, p99 $p99Millis ms, bias ${errors.biasMillis()} ms")

        assertTrue(withAdmission >= without, "$withAdmission with admission, $without without")
        assertTrue(p50Millis < 4_000)
    }

    /** Guards against a forecast that keeps the leader from answering a burst. */
    @Test
    fun `a forecast for 246 workers takes a few milliseconds`() {
        val fleet = fleet(workers = 246)
        repeat(120) { fleet.submit("account${it % 10}", "routine", step(tasks = 39)) }
        fleet.play(millis = 200)
        repeat(100) {
            // The needs of no two gangs are equal, as in the operators' load.
            val need = Resources(milliCores = 26_000L + it, memoryMiB = 38_000L - it, accelerators = 1 + it % 8)
            fleet.submit("account${it % 10}", "gangs", step(tasks = 13, gang = true).copy(need = need))
        }
        val job = fleet.newJob("00000000000000ff", "account0", "routine", step(tasks = 39))
        val tookMicros = List(100) {
            val forecast = fleet.forecast()
            measureNanoTime { forecast.startMillis(job, emptyList()) } / 1_000
        }.sorted()
        println("forecast of one job: p50 ${tookMicros[50]} us, p99 ${tookMicros[99]} us")

        assertTrue(tookMicros[50] < 50_000)
    }

    private companion object {
        const val SEED = 7
        const val ARRIVAL = 0.05
    }
}
