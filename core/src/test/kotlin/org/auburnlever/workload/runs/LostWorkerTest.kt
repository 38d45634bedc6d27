package org.auburnlever.workload.runs

import org.auburnlever.workload.CoordinatorHarness
import org.auburnlever.workload.report
import org.auburnlever.workload.state.Assignment
import org.auburnlever.workload.state.TaskId
import org.auburnlever.workload.state.TaskPhase
import org.auburnlever.workload.state.WorkloadCommand
import org.auburnlever.workload.state.answer
import org.auburnlever.workload.state.apply
import org.auburnlever.workload.state.assign
import org.auburnlever.workload.step
import kotlin.test.Test
import kotlin.test.assertEquals

/** Checks that tasks leave a worker that has ended, whichever way the leader learns of it. */
internal class LostWorkerTest : CoordinatorHarness() {
    private val task = TaskId(JOB, 0, 0, 0)
    private val phase: TaskPhase? get() = workload.state.task(task)?.phase

    /** Answers each order with [answer] for [millis]. */
    private fun answerAllFor(millis: Long, answer: OrderAnswer) = repeat((millis / 100).toInt()) {
        tick()
        orders.toList().forEach { answer(it, answer) }
        orders.clear()
    }

    /** Guards against a task that stays assigned forever since each answer counted as contact with its worker. */
    @Test
    fun `a new leader gives up a run whose worker's address belongs to another worker`() {
        workload.submit("routine", JOB, step(tasks = 1))
        workload.assign(JOB, run = 1, workers = mapOf(0 to "9"))
        answerAllFor(millis = 500, OrderAnswer.OtherIncarnation)

        assertEquals(TaskPhase.WAITING, phase)
    }

    /** Guards against the same without a crash: the worker has left and its address is in use again. */
    @Test
    fun `a run of a worker that left is given up although another worker has its address`() {
        val start = startJob()
        answer(start, OrderAnswer.Done(clockMillis = 100_050))
        run(coordinator.onReport(report("1", draining = true, sequence = 2), workload.nowMillis))
        run(coordinator.onLeave("1", workload.nowMillis))
        answer(take<WorkerOrder.Poll>(), OrderAnswer.OtherIncarnation)
        answerAllFor(limits.leaseSafeMillis, OrderAnswer.OtherIncarnation)

        assertEquals(TaskPhase.WAITING, phase)
    }

    /** Guards against a lease that is counted as extended by polls that the worker refuses. */
    @Test
    fun `a run of a worker that refuses every poll is given up when its lease has expired`() {
        val start = startJob()
        answer(start, OrderAnswer.Done(clockMillis = 100_050))
        answer(take<WorkerOrder.Poll>(), listed(active = listOf(ActiveRun(start.run, "", percent = 1))))
        answerAllFor(limits.leaseSafeMillis * 2, OrderAnswer.Refused(RefusalReason.UNHEALTHY))

        assertEquals(TaskPhase.WAITING, phase)
    }

    /** Guards against a task that starts again elsewhere while its worker, after a refused poll, still runs it. */
    @Test
    fun `a run of a worker that refuses some polls stays assigned`() {
        val start = startJob()
        answer(start, OrderAnswer.Done(clockMillis = 100_050))
        repeat(10) {
            answerAllFor(1_000, OrderAnswer.Refused(RefusalReason.UNHEALTHY))
            answerAllFor(1_000, listed(active = listOf(ActiveRun(start.run, "", percent = 1))))
        }

        assertEquals(TaskPhase.ASSIGNED, phase)
    }

    /** Guards against the loss of a run because an answer concerned an earlier incarnation of its worker. */
    @Test
    fun `an adopted run of a worker's later incarnation outlives the end of the earlier one`() {
        run(coordinator.onReport(report("9"), workload.nowMillis))
        tick()
        val earlier = take<WorkerOrder.Poll>()
        workload.submit("routine", JOB, step(tasks = 1))
        val later = report("9", startMillis = 2).ref
        workload.apply(WorkloadCommand.Assign(listOf(Assignment(task.stepId, run = 1, mapOf(0 to later)))))
        tick()
        answer(earlier, OrderAnswer.OtherIncarnation)
        tick()

        assertEquals(TaskPhase.ASSIGNED, phase)
    }
}
