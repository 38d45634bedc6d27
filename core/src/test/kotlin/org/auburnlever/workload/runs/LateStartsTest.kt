package org.auburnlever.workload.runs

import org.auburnlever.workload.CoordinatorHarness
import org.auburnlever.workload.report
import org.auburnlever.workload.state.TaskPhase
import org.auburnlever.workload.state.TaskRun
import kotlin.test.Test
import kotlin.test.assertEquals

/** Checks what becomes of a start that was not answered when its run is over and its worker starts again. */
internal class LateStartsTest : CoordinatorHarness() {
    /** Loses the first start of a job without an answer, and returns its run once it is recorded as lost. */
    private fun loseUnansweredStart(): TaskRun {
        val start = startJob()
        answer(start, OrderAnswer.Unknown("no answer"))
        tick()
        answer(take<WorkerOrder.Poll>(), listed())
        answer(take<WorkerOrder.Stop>(), OrderAnswer.Done(clockMillis = 100_200))
        tick(afterMillis = limits.stopSafeMillis + 100)
        answer(take<WorkerOrder.Poll>(), listed())
        assertEquals(TaskPhase.WAITING, workload.state.task(start.run.task)?.phase)
        return start.run
    }

    private fun restartWorker(startMillis: Long): List<WorkerOrder.Stop> {
        deliver(report("1", startMillis = startMillis))
        orders.clear()
        tick()
        return orders.filterIsInstance<WorkerOrder.Stop>()
    }

    /** Guards against a finished task that runs again, since its held up start names no incarnation of the worker. */
    @Test
    fun `a worker that starts again is told to refuse a start that may be in flight`() {
        val lost = loseUnansweredStart()
        val first = restartWorker(startMillis = 2).single { it.run == lost }
        assertEquals(2, first.worker.startMillis)
        answer(first, OrderAnswer.Done(clockMillis = 100))
        orders.clear()
        tick(afterMillis = 2_000)
        assertEquals(emptyList(), orders.filter { it is WorkerOrder.Stop && it.run == lost }, "it has confirmed")

        assertEquals(3, restartWorker(startMillis = 3).single { it.run == lost }.worker.startMillis)
    }

    /** Guards against a stop that gets lost. */
    @Test
    fun `an unconfirmed stop of a late start is repeated`() {
        val lost = loseUnansweredStart()
        answer(restartWorker(startMillis = 2).single { it.run == lost }, OrderAnswer.Unknown("no answer"))
        orders.clear()
        tick(afterMillis = 1_100)

        assertEquals(1, orders.count { it is WorkerOrder.Stop && it.run == lost })
    }

    /** Guards against orders for starts that can't arrive any more. */
    @Test
    fun `a start that was sent long ago is not stopped`() {
        val lost = loseUnansweredStart()
        tick(afterMillis = 15_000)

        assertEquals(emptyList(), restartWorker(startMillis = 2).filter { it.run == lost })
    }
}
