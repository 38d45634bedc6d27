package org.auburnlever.workload.runs

import org.auburnlever.workload.CoordinatorHarness
import org.auburnlever.workload.report
import org.auburnlever.workload.state.TaskId
import org.auburnlever.workload.state.TaskPhase
import org.auburnlever.workload.state.answer
import org.auburnlever.workload.step
import kotlin.test.Test
import kotlin.test.assertEquals

/** Checks which answers of which incarnation count as evidence about a run whose worker restarts. */
internal class RestartEvidenceTest : CoordinatorHarness() {
    private val phase: TaskPhase? get() = workload.state.task(TaskId(JOB, 0, 0, 0))?.phase

    /** Guards against a task that runs twice since the answer of a later incarnation counts as that of the earlier. */
    @Test
    fun `a start that a later incarnation of a young worker has carried out is not given up`() {
        deliver(report("1").copy(clockMillis = 100))
        workload.submit("routine", JOB, step(tasks = 1))
        tick(afterMillis = 1_000)
        // The clock of the earlier incarnation shows at least 1,080 ms when the start is sent.
        answer(take<WorkerOrder.Start>(), OrderAnswer.Done(clockMillis = 400))
        deliver(report("1", startMillis = 5).copy(clockMillis = 450))
        tick()

        assertEquals(TaskPhase.ASSIGNED, phase, "given up although the later incarnation runs it")
    }
}
