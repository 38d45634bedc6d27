package org.auburnlever.workload.runs

import org.auburnlever.workload.CoordinatorHarness
import org.auburnlever.workload.report
import org.auburnlever.workload.state.TaskId
import org.auburnlever.workload.state.TaskPhase
import org.auburnlever.workload.state.TaskRun
import org.auburnlever.workload.state.answer
import org.auburnlever.workload.step
import kotlin.test.Test
import kotlin.test.assertEquals

/** Checks which losses of a worker count as a crash under a run. */
internal class CrashEvidenceTest : CoordinatorHarness() {
    private val suspicion: Int? get() = workload.state.task(TaskId(JOB, 0, 0, 0))?.crashSuspicion

    private fun startAnsweredJob(): WorkerOrder.Start = startJob().also { answer(it, OrderAnswer.Done(100_050)) }

    /** Lists all assigned runs as active for [millis] with a poll each second. */
    private fun listFor(millis: Long, startMillis: Long) = repeat((millis / 1_000).toInt()) { index ->
        tick(afterMillis = 1_000)
        orders.filterIsInstance<WorkerOrder.Start>().forEach { answer(it, OrderAnswer.Done(100_050)) }
        val active = workload.state.jobs.values.flatMap { it.assigned() }
            .map { (id, task) -> ActiveRun(TaskRun(id, task.run), "", percent = index + 1) }
        val list = OrderAnswer.Listed(clockMillis = 100_100, startMillis, active, emptyList())
        orders.filterIsInstance<WorkerOrder.Poll>().forEach { answer(it, list) }
        orders.clear()
    }

    /** Guards against a crash at a start that is not told from a later one. */
    @Test
    fun `a worker that ends right after a start is suspected to have crashed by it`() {
        startAnsweredJob()
        answerReplaced(take())
        tick()

        assertEquals(2, suspicion)
    }

    /** Guards against tasks that run alone only because another one crashed their worker. */
    @Test
    fun `a crash some seconds after the start counts less and one much later not at all`() {
        startAnsweredJob()
        workload.submit("routine", "00000000000000a2", step(tasks = 1))
        listFor(millis = 3_000, startMillis = 1)
        deliver(report("1", startMillis = 2))
        tick()
        assertEquals(1, suspicion)

        listFor(millis = 14_000, startMillis = 2)
        deliver(report("1", startMillis = 3))
        tick()
        assertEquals(1, suspicion)
    }

    /** Guards against jobs that fail because their workers were shut down. */
    @Test
    fun `the end of a draining worker is not a crash`() {
        startAnsweredJob()
        deliver(report("1", draining = true, sequence = 2))
        answerReplaced(take())
        tick()

        assertEquals(0, suspicion)
        assertEquals(TaskPhase.WAITING, workload.state.task(TaskId(JOB, 0, 0, 0))?.phase)
    }

    /** Guards against jobs that fail because their workers were cut off from the leader only. */
    @Test
    fun `an expired lease of a worker that still reports is not a crash`() {
        startAnsweredJob()
        repeat(80) { index ->
            tick()
            if (index % 10 == 0) deliver(report("1", sequence = index + 2L))
            orders.filterIsInstance<WorkerOrder.Poll>().forEach { answer(it, OrderAnswer.Unknown("cut off")) }
            orders.clear()
        }

        assertEquals(0, suspicion)
        assertEquals(TaskPhase.WAITING, workload.state.task(TaskId(JOB, 0, 0, 0))?.phase)
    }
}
