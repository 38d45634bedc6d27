package org.auburnlever.workload.state

import org.auburnlever.codec.Codec
import org.auburnlever.model.DomainName
import org.auburnlever.workload.FleetAnswer
import org.auburnlever.workload.FleetCall
import org.auburnlever.workload.JobStatus
import org.auburnlever.workload.Workload
import org.auburnlever.workload.address
import org.auburnlever.workload.catalog
import org.auburnlever.workload.queue
import org.auburnlever.workload.status
import org.auburnlever.workload.step
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

private const val JOB = "00000000000000a1"
private const val OTHER_JOB = "00000000000000a2"

class ApplyWorkloadTest {
    private val workload = Workload().withCatalog()

    @Test
    fun `a desired state with a lower or equal version is acknowledged and changes nothing`() {
        workload.withCatalog(catalog(version = 5))
        val reply = workload.apply(WorkloadCommand.ChangeCatalog(catalog(version = 5, queues = emptyList()), "other"))
        workload.withCatalog(catalog(version = 4, queues = emptyList()))

        assertEquals(WorkloadReply.Done, reply)
        assertEquals("document 5", workload.state.document)
        assertEquals(2, workload.state.catalog?.queues?.size)
    }

    /** Guards against an acknowledgement of a version that is not committed, and of other orders that may be undone. */
    @Test
    fun `only a desired state that is not newer than the applied one is settled`() {
        workload.withCatalog(catalog(version = 5))
        val calls = listOf(4L, 5L, 6L).map { FleetCall.ChangeCatalog(catalog(version = it), "other") }
        assertEquals(listOf(FleetAnswer.Done, FleetAnswer.Done, null), calls.map { workload.state.settledAnswer(it) })
        assertNull(WorkloadState().settledAnswer(calls.first()))
        assertNull(workload.state.settledAnswer(FleetCall.Evacuate(DomainName("a"))))
    }

    @Test
    fun `a job that arrives twice is one job`() {
        workload.submit("routine", JOB, step(tasks = 1))
        workload.assign(JOB, run = 1, workers = mapOf(0 to "1"))
        workload.submit("routine", JOB, step(tasks = 3))

        assertEquals(1, workload.job(JOB).spec.steps.single().taskCount)
        assertTrue(workload.job(JOB).started)
    }

    @Test
    fun `a call with an unknown key or queue stores nothing`() {
        val unknownKey = WorkloadCommand.AcceptJob(address("routine", JOB, key = "other"), JobSpec("", listOf(step(1))))
        val unknownQueue = WorkloadCommand.AcceptJob(address("gone", JOB), JobSpec("", listOf(step(1))))

        assertEquals(WorkloadReply.NotAdmitted(Inadmissible.BAD_KEY), workload.apply(unknownKey))
        assertEquals(WorkloadReply.NotAdmitted(Inadmissible.NO_QUEUE), workload.apply(unknownQueue))
        assertTrue(workload.state.jobs.isEmpty())
    }

    private fun resent(turnAway: Boolean = false) =
        workload.apply(WorkloadCommand.AcceptJob(address("routine", JOB), JobSpec("", listOf(step(1))), turnAway))

    /** Guards against callers that are told that their job never runs after a change of the configuration. */
    @Test
    fun `a stored job that arrives again is not refused after its key, queue or policy service has changed`() {
        workload.submit("routine", JOB, step(tasks = 1))
        val routine = queue("routine", 2)
        val keyRemoved = catalog(version = 2).copy(accounts = emptyList())
        val outer = routine.copy(name = "outer", pathPrefix = "/")
        val advised = routine.copy(policy = routine.policy.copy(needsAdvice = true))
        val expected = listOf(
            keyRemoved to WorkloadReply.StoredNotAdmitted(Inadmissible.BAD_KEY),
            catalog(version = 3, queues = emptyList()) to WorkloadReply.StoredNotAdmitted(Inadmissible.NO_QUEUE),
            catalog(version = 4, queues = listOf(outer)) to WorkloadReply.StoredNotAdmitted(Inadmissible.NO_JOB),
            catalog(version = 5, queues = listOf(advised)) to WorkloadReply.Done,
            catalog(version = 6, queues = listOf(routine.copy(name = "renamed"))) to WorkloadReply.Done,
        )
        for ((catalog, reply) in expected) {
            workload.withCatalog(catalog)
            assertEquals(reply, resent(), "version ${catalog.version}")
        }
        assertEquals(WorkloadReply.Done, resent(turnAway = true), "while new jobs are turned away")
        assertEquals(1, workload.state.jobs.size)
    }

    /** Guards against other jobs that are reported as possibly stored. */
    @Test
    fun `a job of another queue does not keep a refusal from being reported`() {
        workload.submit("routine", JOB, step(tasks = 1))
        val call = WorkloadCommand.AcceptJob(address("gone", JOB), JobSpec("", listOf(step(1))))
        assertEquals(WorkloadReply.NotAdmitted(Inadmissible.NO_QUEUE), workload.apply(call))
    }

    @Test
    fun `a task that is assigned is not assigned again`() {
        workload.submit("routine", JOB, step(tasks = 1))
        workload.assign(JOB, run = 1, workers = mapOf(0 to "1"))

        val second = workload.assign(JOB, run = 2, workers = mapOf(0 to "2"))

        assertEquals(WorkloadReply.Assigned(emptyList()), second)
        assertEquals("1", workload.job(JOB).task(TaskId(JOB, 0, 0, 0))?.worker?.id)
    }

    @Test
    fun `a step is assigned only after all steps that it depends on are done`() {
        workload.submit("routine", JOB, step(tasks = 2), step(tasks = 1, dependsOn = listOf(0)))
        workload.assign(JOB, run = 1, workers = mapOf(0 to "1", 1 to "1"))
        workload.end(JOB, index = 0, run = 1, kind = EndKind.DONE)

        assertEquals(WorkloadReply.Assigned(emptyList()), workload.assign(JOB, 1, mapOf(0 to "1"), step = 1))
        workload.end(JOB, index = 1, run = 1, kind = EndKind.DONE)
        assertTrue((workload.assign(JOB, 1, mapOf(0 to "1"), step = 1) as WorkloadReply.Assigned).runs.isNotEmpty())
    }

    @Test
    fun `a job succeeds only when every task has ended as done`() {
        workload.submit("routine", JOB, step(tasks = 2))
        workload.assign(JOB, run = 1, workers = mapOf(0 to "1", 1 to "2"))
        workload.end(JOB, index = 0, run = 1, kind = EndKind.DONE)
        assertEquals(JobStatus.RUNNING, workload.job(JOB).status())

        workload.end(JOB, index = 1, run = 1, kind = EndKind.DONE)
        assertEquals(JobStatus.SUCCEEDED, workload.job(JOB).status())
    }

    @Test
    fun `an end of an earlier run does not affect the current one`() {
        workload.submit("routine", JOB, step(tasks = 1))
        workload.assign(JOB, run = 1, workers = mapOf(0 to "1"))
        workload.end(JOB, index = 0, run = 1, kind = EndKind.LOST)
        workload.assign(JOB, run = 2, workers = mapOf(0 to "2"))

        workload.end(JOB, index = 0, run = 1, kind = EndKind.DONE)

        assertEquals(JobStatus.RUNNING, workload.job(JOB).status())
    }

    /** Guards against doing work twice whose worker was unreachable when it finished. */
    @Test
    fun `a lost run that turns out to be done counts unless its task has started again`() {
        workload.submit("routine", JOB, step(tasks = 2))
        workload.assign(JOB, run = 1, workers = mapOf(0 to "1", 1 to "1"))
        workload.end(JOB, index = 0, run = 1, kind = EndKind.LOST)
        workload.end(JOB, index = 0, run = 1, kind = EndKind.FAILED)
        assertEquals(0, workload.job(JOB).task(TaskId(JOB, 0, 0, 0))?.failures)
        workload.end(JOB, index = 0, run = 1, kind = EndKind.DONE)
        workload.end(JOB, index = 1, run = 1, kind = EndKind.DONE)

        assertEquals(JobStatus.SUCCEEDED, workload.job(JOB).status())
    }

    @Test
    fun `the end of one member as done completes the whole gang`() {
        workload.submit("routine", JOB, step(tasks = 3, gang = true))
        workload.assign(JOB, run = 1, workers = mapOf(0 to "1", 1 to "2", 2 to "3"))
        workload.end(JOB, index = 1, run = 1, kind = EndKind.DONE)

        assertEquals(JobStatus.SUCCEEDED, workload.job(JOB).status())
    }

    @Test
    fun `a gang run in which several members failed counts as one attempt`() {
        workload.withCatalog(catalog(version = 2, queues = listOf(queue("routine", 2, maxAttempts = 2))))
        workload.submit("routine", JOB, step(tasks = 2, gang = true))
        workload.assign(JOB, run = 1, workers = mapOf(0 to "1", 1 to "2"))
        workload.end(JOB, index = 0, run = 1, kind = EndKind.FAILED)
        workload.end(JOB, index = 1, run = 1, kind = EndKind.FAILED)
        assertEquals(JobPhase.ACTIVE, workload.job(JOB).phase)

        workload.assign(JOB, run = 2, workers = mapOf(0 to "1", 1 to "2"))
        workload.end(JOB, index = 0, run = 2, kind = EndKind.FAILED)
        assertEquals(JobPhase.FAILED, workload.job(JOB).phase)
    }

    @Test
    fun `the checkpoint of one member applies to the whole gang`() {
        workload.submit("routine", JOB, step(tasks = 2, gang = true))
        workload.assign(JOB, run = 1, workers = mapOf(0 to "1", 1 to "2"))
        workload.end(JOB, index = 0, run = 1, kind = EndKind.STOPPED, checkpoint = "c7")

        val checkpoints = workload.job(JOB).step(StepId(JOB, 0, 0))?.tasks?.map { it.checkpoint }
        assertEquals(listOf("c7", "c7"), checkpoints)
    }

    @Test
    fun `lost and stopped runs are not failures`() {
        workload.withCatalog(catalog(version = 2, queues = listOf(queue("routine", 2, maxAttempts = 1))))
        workload.submit("routine", JOB, step(tasks = 1))
        workload.assign(JOB, run = 1, workers = mapOf(0 to "1"))
        workload.end(JOB, index = 0, run = 1, kind = EndKind.LOST)
        workload.assign(JOB, run = 2, workers = mapOf(0 to "1"))
        workload.end(JOB, index = 0, run = 2, kind = EndKind.STOPPED)
        assertEquals(JobPhase.ACTIVE, workload.job(JOB).phase)
    }

    @Test
    fun `a canceled job gets no further task and stays canceled when a run ends as done`() {
        workload.submit("routine", JOB, step(tasks = 1))
        workload.assign(JOB, run = 1, workers = mapOf(0 to "1"))
        workload.apply(WorkloadCommand.CancelJob(address("routine", JOB)))
        workload.end(JOB, index = 0, run = 1, kind = EndKind.DONE)

        assertEquals(JobStatus.CANCELED, workload.job(JOB).status())
    }

    @Test
    fun `an ended job is removed after its retention but not while a task is assigned`() {
        workload.submit("routine", JOB, step(tasks = 1))
        workload.assign(JOB, run = 1, workers = mapOf(0 to "1"))
        workload.apply(WorkloadCommand.CancelJob(address("routine", JOB)))
        workload.apply(WorkloadCommand.ForgetJobs(endedBeforeMillis = 10_000))
        assertTrue(JOB in workload.state.jobs)

        workload.end(JOB, index = 0, run = 1, kind = EndKind.STOPPED)
        workload.apply(WorkloadCommand.ForgetJobs(endedBeforeMillis = 10_000))
        assertFalse(JOB in workload.state.jobs)
    }

    @Test
    fun `a snapshot holds the whole state`() {
        workload.submit("routine", JOB, step(tasks = 2, gang = true), step(tasks = 1, dependsOn = listOf(0)))
        workload.assign(JOB, run = 1, workers = mapOf(0 to "1", 1 to "2"))

        val decoded = Codec.decode<WorkloadState>(Codec.encode(workload.state))
        assertEquals(workload.state, decoded)
        assertNull(decoded.jobs["other"])
    }

    @Test
    fun `a path that names no job stores nothing`() {
        val reply = workload.submit("routine", "below/$JOB", step(tasks = 1))

        assertEquals(WorkloadReply.NotAdmitted(Inadmissible.NO_JOB), reply)
        assertTrue(workload.state.jobs.isEmpty())
    }

    @Test
    fun `a job that this version can never start is refused at once`() {
        val advised = queue("advised", 1).let { it.copy(policy = it.policy.copy(needsAdvice = true)) }
        workload.withCatalog(catalog(version = 2, queues = listOf(advised)))

        val reply = workload.submit("advised", JOB, step(tasks = 1))
        assertEquals(WorkloadReply.NotAdmitted(Inadmissible.NEEDS_ADVICE), reply)
    }

    private fun refuse(run: Int, index: Int = 0) = workload.apply(
        WorkloadCommand.RecordEnds(
            listOf(RunEnd(TaskRun(TaskId(JOB, 0, 0, index), run), EndKind.LOST, "", unseen = true)),
        ),
    )

    private fun pending(afterMillis: Long = 0): Int =
        workload.state.pendingOf(queue("routine", 2), workload.nowMillis + afterMillis)

    /** Guards against a count of pending jobs that leaves out those whose starts an unhealthy worker refused. */
    @Test
    fun `a job whose start was refused is pending again`() {
        workload.submit("routine", JOB, step(tasks = 2))
        workload.assign(JOB, run = 1, workers = mapOf(0 to "1", 1 to "1"))
        assertEquals(1, pending(), "the starts may be refused")
        assertEquals(0, pending(afterMillis = 2_000))
        refuse(run = 1)
        assertEquals(0, pending(afterMillis = 2_000), "the other task may have begun")
        refuse(run = 1, index = 1)

        assertEquals(1, pending(afterMillis = 2_000))
        assertEquals(JobStatus.QUEUED, workload.job(JOB).status())
    }

    /** Guards against a job that is queued again after it has run. */
    @Test
    fun `a job of which a run has begun stays running after a refused start`() {
        workload.submit("routine", JOB, step(tasks = 1))
        workload.assign(JOB, run = 1, workers = mapOf(0 to "1"))
        workload.end(JOB, index = 0, run = 1, EndKind.FAILED)
        workload.assign(JOB, run = 2, workers = mapOf(0 to "1"))
        refuse(run = 2)

        assertEquals(0, pending())
        assertEquals(JobStatus.RUNNING, workload.job(JOB).status())
    }

    private fun read(id: String): FleetAnswer =
        workload.state.answer(FleetCall.ReadJob(address("routine", id)), workload.nowMillis)

    /** Guards against accepted jobs that clients can neither query nor cancel since their queue has a new name. */
    @Test
    fun `a job is found at the address of its queue after another queue replaced it there`() {
        workload.submit("routine", JOB, step(tasks = 1))
        workload.submit("urgent", OTHER_JOB, step(tasks = 1))
        val renamed = queue("routine", 2).copy(name = "renamed")
        workload.withCatalog(catalog(version = 2, queues = listOf(renamed, queue("urgent", 0))))

        assertEquals(FleetAnswer.Job(JobStatus.QUEUED), read(JOB))
        assertEquals(FleetAnswer.Pending(1), read(""))
        assertEquals(FleetAnswer.NotAdmitted(Inadmissible.NO_JOB), read(OTHER_JOB))
        workload.apply(WorkloadCommand.CancelJob(address("routine", JOB)))
        assertEquals(JobPhase.CANCELED, workload.job(JOB).phase)
    }
}
