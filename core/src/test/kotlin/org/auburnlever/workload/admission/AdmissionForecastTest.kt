package org.auburnlever.workload.admission

import org.auburnlever.workload.Coordinator
import org.auburnlever.workload.Workload
import org.auburnlever.workload.WorkloadLimits
import org.auburnlever.workload.address
import org.auburnlever.workload.join
import org.auburnlever.workload.report
import org.auburnlever.workload.state.Inadmissible
import org.auburnlever.workload.state.JobSpec
import org.auburnlever.workload.state.WorkloadCommand
import org.auburnlever.workload.state.WorkloadReply
import org.auburnlever.workload.state.apply
import org.auburnlever.workload.step
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

private const val JOB = "00000000000000a1"

/** Replays a time in which more work arrives than the fleet can do. */
class AdmissionForecastTest {
    private val workload = Workload(nowMillis = 10_000).withCatalog()
    private val coordinator = Coordinator(term = 1, electedMillis = 10_000, WorkloadLimits())
    private val spec = JobSpec("payload", listOf(step(tasks = 1, accelerators = 8)))

    /**
     * Two workers and [jobs] waiting routine jobs, each of which takes a whole worker for 2 s. The second worker has
     * been silent for [silentMillis].
     */
    private fun flood(jobs: Int, electedAgoMillis: Long = 10_000, silentMillis: Long = 1_000) {
        workload.nowMillis += electedAgoMillis
        listOf("1", "2").forEach { coordinator.join(report(it), workload) }
        repeat(jobs) { workload.submit("routine", "%016x".format(it + 1_000), step(tasks = 1, accelerators = 8)) }
        workload.nowMillis += silentMillis
        coordinator.onReport(report("1", sequence = 2), workload.nowMillis)
        coordinator.tick(workload.state, workload.nowMillis, workload.nowMillis)
    }

    private fun retryAfterMillis(queue: String, id: String = JOB, spec: JobSpec = this.spec): Long? =
        coordinator.decideSubmission(workload.state, address(queue, id), spec, workload.nowMillis).retryAfterMillis

    /** Guards against refusing work that the fleet can do in time. */
    @Test
    fun `a job is accepted while the work ahead of it leaves it time`() {
        flood(jobs = 14)

        assertNull(retryAfterMillis("routine"))
    }

    /** Guards against jobs that wait until all of them end too late. */
    @Test
    fun `a job that can't end while its answer is of use is turned away until the backlog is short enough`() {
        flood(jobs = 22)

        // 20 jobs wait for 2 workers, so the job starts after 20 s at best; its answer is of use for 15 s.
        assertEquals(20_000 + 2_000 - 15_000, retryAfterMillis("routine"))
    }

    /** Guards against a new leader that refuses work because it has not heard of most workers yet. */
    @Test
    fun `a new leader turns nothing away before it knows the fleet`() {
        flood(jobs = 100, electedAgoMillis = 0)

        assertNull(retryAfterMillis("routine"))
    }

    /** Guards against refusing work because workers are silent for a moment. */
    @Test
    fun `workers that are silent for a moment count in the forecast`() {
        flood(jobs = 12, silentMillis = 4_500)

        assertNull(retryAfterMillis("routine"))
    }

    /** Guards against clients that all come back at the same moment. */
    @Test
    fun `each job that is turned away is asked back later than the one before`() {
        flood(jobs = 22)
        val first = assertNotNull(retryAfterMillis("routine", "00000000000000b1"))

        assertEquals(first + 1_000, retryAfterMillis("routine", "00000000000000b2"))
    }

    /** Guards against urgent jobs that are refused because of work that they would not wait for. */
    @Test
    fun `waiting work of lower priority does not turn an urgent job away`() {
        flood(jobs = 100)

        assertNull(retryAfterMillis("urgent"))
    }

    /** Guards against refusing a job whose time has not come, or that has no end that could be late. */
    @Test
    fun `scheduled and long-running jobs are accepted`() {
        flood(jobs = 100)

        assertNull(retryAfterMillis("routine", spec = spec.copy(repetitions = 2)))
        val longRunning = spec.copy(steps = spec.steps.map { it.copy(longRunning = true) })
        assertNull(retryAfterMillis("routine", spec = longRunning))
    }

    /** Guards against a caller that is told that its job has not run although an earlier attempt was accepted. */
    @Test
    fun `a job that is stored already is not turned away`() {
        workload.submit("routine", JOB, step(tasks = 1))
        val again = WorkloadCommand.AcceptJob(address("routine", JOB), spec, turnAway = true)
        val other = WorkloadCommand.AcceptJob(address("routine", "00000000000000c1"), spec, turnAway = true)

        assertEquals(WorkloadReply.Done, workload.apply(again))
        assertEquals(WorkloadReply.NotAdmitted(Inadmissible.OVERLOADED), workload.apply(other))
        assertTrue("00000000000000c1" !in workload.state.jobs)
    }
}
