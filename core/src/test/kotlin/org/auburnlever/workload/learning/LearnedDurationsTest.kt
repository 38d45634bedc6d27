package org.auburnlever.workload.learning

import org.auburnlever.codec.Codec
import org.auburnlever.workload.Coordinator
import org.auburnlever.workload.CoordinatorEffect
import org.auburnlever.workload.SchedulingFeature
import org.auburnlever.workload.Workload
import org.auburnlever.workload.WorkloadLimits
import org.auburnlever.workload.join
import org.auburnlever.workload.planning.JobStanding
import org.auburnlever.workload.planning.RunProgress
import org.auburnlever.workload.planning.START_MILLIS
import org.auburnlever.workload.planning.remainingMillis
import org.auburnlever.workload.planning.standing
import org.auburnlever.workload.planning.waitingSteps
import org.auburnlever.workload.ref
import org.auburnlever.workload.report
import org.auburnlever.workload.state.Assignment
import org.auburnlever.workload.state.EndKind
import org.auburnlever.workload.state.StepId
import org.auburnlever.workload.state.StepSpec
import org.auburnlever.workload.state.WorkloadCommand
import org.auburnlever.workload.state.WorkloadState
import org.auburnlever.workload.step
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class LearnedDurationsTest {
    private val workload = Workload(nowMillis = 10_000).withCatalog()
    private val single = step(tasks = 1)
    private val feature = setOf(SchedulingFeature.LEARNED_DURATIONS)
    private var jobs = 0

    private fun submit(spec: StepSpec) = "%016x".format(++jobs).also { workload.submit("routine", it, spec) }

    private fun assignment(id: String, workers: List<String>, slowed: Boolean = false) =
        Assignment(StepId(id, 0, 0), 1, workers.indices.associateWith { ref(workers[it]) }, slowed)

    private fun start(spec: StepSpec, workers: List<String> = List(spec.taskCount) { "$it" }, slowed: Boolean = false) =
        submit(spec).also { workload.apply(WorkloadCommand.Assign(listOf(assignment(it, workers, slowed)))) }

    private fun end(id: String, afterMillis: Long, index: Int = 0, kind: EndKind = EndKind.DONE) {
        workload.nowMillis = workload.job(id).acceptedMillis + START_MILLIS + afterMillis
        workload.end(id, index, run = 1, kind = kind)
    }

    private fun observe(times: Int, vararg millis: Long) = repeat(times) { millis.forEach { end(start(single), it) } }

    private fun verifyForecast(expected: LongRange) {
        val millis = LearnedForecast(workload.state.learned).taskMillis(workload.job(submit(single)), 0)
        assertTrue(millis in expected, "$millis")
    }

    /** Guards against forecasts from too little, and against a jump once there is a first sample. */
    @Test
    fun `with no sample the declared duration is used, with few it still counts most`() {
        verifyForecast(2_000L..2_000L)
        observe(1, 4_000)
        verifyForecast(2_100L..2_700L)
        observe(20, 4_000)
        verifyForecast(3_600L..4_100L)
    }

    /** Guards against a forecast that stays behind for minutes after the work of a queue has changed. */
    @Test
    fun `a lasting change of the durations replaces what was learned before`() {
        observe(100, 2_000)
        observe(60, 6_000)
        verifyForecast(5_000L..6_200L)
    }

    /** Guards against a heavy tail that moves the forecast of the other jobs. */
    @Test
    fun `jobs that take seven times as long hardly move the forecast`() {
        repeat(5) {
            observe(16, 1_800, 2_200)
            observe(1, 14_000)
        }
        verifyForecast(1_900L..2_300L)
    }

    /** Guards against runs that say nothing about the duration of a task, but would be counted. */
    @Test
    fun `only complete undisturbed runs count`() {
        listOf(EndKind.FAILED, EndKind.STOPPED, EndKind.BROKEN).forEach { end(start(single), 9_000, kind = it) }
        end(start(single, slowed = true), 9_000)
        end(start(single.copy(longRunning = true)), 9_000)
        val lost = start(single)
        end(lost, 9_000, kind = EndKind.LOST)
        end(lost, 9_500)
        val restored = start(single.copy(checkpointing = true))
        workload.end(restored, index = 0, run = 1, kind = EndKind.STOPPED, checkpoint = "c1")
        workload.assign(restored, run = 2, workers = mapOf(0 to "1"))
        workload.end(restored, index = 0, run = 2, kind = EndKind.DONE)

        assertEquals(LearnedDurations(), workload.state.learned)
    }

    /** Guards against a leader that plans differently from the one before it. */
    @Test
    fun `a new leader has all samples, also those of steps in progress, and a gang is one of them`() {
        end(start(step(tasks = 3, gang = true)), 3_000)
        val job = start(step(tasks = 4))
        end(job, 8_000, index = 2)
        val decoded = Codec.decode<WorkloadState>(Codec.encode(workload.state))

        assertEquals(workload.state, decoded)
        assertEquals(1, decoded.learned.queues.getValue("routine").samples)
        assertTrue(LearnedForecast(decoded.learned).taskMillis(decoded.jobs.getValue(job), 0) > 4_000)
    }

    /** Guards against a slow worker that is hidden by long jobs, and a fast one that is taken for short ones. */
    @Test
    fun `the speeds of a slow and a fast worker are learned from the steps that they share with others`() {
        val speeds = listOf(0.8, 1.3, 1.0, 1.0)
        repeat(15) { round ->
            val job = start(step(tasks = 4), listOf("slow", "fast", "a", "b"))
            val millis = 1_500L + 900 * (round % 4)
            speeds.indices.sortedByDescending { speeds[it] }.forEach { end(job, (millis / speeds[it]).toLong(), it) }
        }
        val forecast = LearnedForecast(workload.state.learned)
        assertTrue(forecast.speedPercent("slow") in 75..87, "${forecast.speedPercent("slow")}")
        assertTrue(forecast.speedPercent("fast") in 118..132, "${forecast.speedPercent("fast")}")
        assertEquals(100, forecast.speedPercent("unknown"))
    }

    /** Guards against state that grows with each name that ever occurred. */
    @Test
    fun `the state is bounded and drops what was updated longest ago`() {
        val job = workload.job(submit(single))
        val learned = (0L until 3_000L).fold(LearnedDurations()) { learned, n ->
            val runs = listOf(MeasuredRun("w$n", 1_000), MeasuredRun("v$n", 1_000))
            learned.afterStep(job.copy(queue = "q$n"), 0, runs, nowMillis = n)
        }
        assertEquals(LearnedDurations.MAX_QUEUES, learned.queues.size)
        assertEquals(LearnedDurations.MAX_WORKERS, learned.speeds.size)
        assertTrue("q2999" in learned.queues && "w2999" in learned.speeds)
    }

    @Test
    fun `the standing and the objective follow the forecast only with the feature`() {
        observe(30, 20_000)
        val job = workload.job(submit(single))
        val atMillis = job.acceptedMillis + 5_000
        val standing = { features: Set<SchedulingFeature> ->
            job.waitingSteps(atMillis).single().standing(atMillis, workload.state.durations(features))
        }
        assertEquals(JobStanding.LATE, standing(emptySet()))
        assertEquals(JobStanding.ON_TIME, standing(feature))
    }

    /** Guards against a remaining time that ignores the progress, or trusts the first percent of it. */
    @Test
    fun `the remaining time combines the forecast with the reported progress`() {
        observe(30, 2_000)
        val job = workload.job(start(single))
        val (id, task) = job.assigned().single()
        val forecast = LearnedForecast(workload.state.learned)
        val left = { percent: Int, millis: Long ->
            val nowMillis = task.assignedMillis + START_MILLIS + millis
            job.remainingMillis(id, task, RunProgress(percent, nowMillis), nowMillis, forecast)
        }
        assertTrue(left(1, 100) in 1_800..3_000, "${left(1, 100)}")
        assertTrue(left(50, 4_000) in 3_700..4_100, "${left(50, 4_000)}")
    }

    /** Guards against three times too long durations from steps that are spread over racks. */
    @Test
    fun `assignments off the data rack or on several racks are marked`() {
        val slowed = { spec: StepSpec, workers: List<String> ->
            listOf(assignment(submit(spec), workers)).markSlowed(workload.state) { "r$it" }.single().slowed
        }
        assertEquals(listOf(false, true), listOf("0", "1").map { slowed(single.copy(dataRack = "r0"), listOf(it)) })
        assertEquals(true, slowed(step(tasks = 2, rackSensitive = true), listOf("0", "1")))
        assertEquals(false, slowed(step(tasks = 2, rackSensitive = true), listOf("1", "1")))
        assertEquals(false, slowed(step(tasks = 2), listOf("0", "1")))
    }

    @Test
    fun `the leader marks its assignments and logs what was learned`() {
        observe(1, 2_000)
        val coordinator = Coordinator(term = 1, workload.nowMillis, WorkloadLimits(), feature)
        workload.nowMillis += 5_000
        coordinator.join(report("1"), workload)
        submit(single.copy(dataRack = "absent"))
        val effects = coordinator.tick(workload.state, workload.nowMillis, workload.nowMillis)

        val commands = effects.filterIsInstance<CoordinatorEffect.Propose>().map { it.command }
        assertTrue(commands.filterIsInstance<WorkloadCommand.Assign>().single().assignments.single().slowed)
        assertTrue(effects.any { it is CoordinatorEffect.Log && it.entry.event == "durations_learned" })
    }
}
