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
        deliver(report("1", draining = true, sequence = 2))
        run(coordinator.onLeave("1", workload.nowMillis))
        answerReplaced(take())
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
        deliver(report("9"))
        tick()
        val earlier = WorkerOrder.Poll(report("9").ref, TERM, 0, deadlineMillis = null, waitMillis = 0)
        workload.submit("routine", JOB, step(tasks = 1))
        val later = report("9", startMillis = 2).ref
        workload.apply(WorkloadCommand.Assign(listOf(Assignment(task.stepId, run = 1, mapOf(0 to later)))))
        tick()
        answer(earlier, OrderAnswer.OtherIncarnation)
        tick()

        assertEquals(TaskPhase.ASSIGNED, phase)
    }

    /** Lets the worker announce its shutdown, whose acknowledgement it may not receive. */
    private fun announceDeparture() {
        deliver(report("1", draining = true, sequence = 2))
        run(coordinator.onLeave("1", workload.nowMillis))
    }

    /** Guards against a task that runs twice: a worker that is cut off as it announces its shutdown serves on. */
    @Test
    fun `a run of a departing worker that is cut off is given up only when its lease has expired`() {
        answer(startJob(), OrderAnswer.Done(clockMillis = 100_050))
        announceDeparture()
        answerAllFor(limits.leaseMillis, OrderAnswer.Unknown("no answer"))
        assertEquals(TaskPhase.ASSIGNED, phase)

        answerAllFor(limits.leaseSafeMillis - limits.leaseMillis + 100, OrderAnswer.Unknown("no answer"))
        assertEquals(TaskPhase.WAITING, phase)
    }

    /** Guards against the same after an election: the new leader knows the worker by its reports only. */
    @Test
    fun `a new leader waits for the lease of a departing worker that is cut off`() {
        answer(startJob(), OrderAnswer.Done(clockMillis = 100_050))
        tick()
        electLeader()
        announceDeparture()
        answerAllFor(limits.leaseMillis, OrderAnswer.Unknown("no answer"))
        assertEquals(TaskPhase.ASSIGNED, phase)

        answerAllFor(limits.leaseSafeMillis, OrderAnswer.Unknown("no answer"))
        assertEquals(TaskPhase.WAITING, phase)
    }

    /** Guards against a lease that is extended after the announcement, so that its end is waited for in vain. */
    @Test
    fun `the lease of a departing worker is not extended`() {
        val start = startJob()
        answer(start, OrderAnswer.Done(clockMillis = 100_050))
        announceDeparture()
        answerAllFor(limits.leaseMillis / 2, listed(active = listOf(ActiveRun(start.run, "", percent = 1))))
        answerAllFor(limits.leaseSafeMillis - limits.leaseMillis / 2 + 100, OrderAnswer.Unknown("no answer"))

        assertEquals(TaskPhase.WAITING, phase)
    }

    /** Guards against a task that has nothing running for 3 s after a planned end of which only silence tells. */
    @Test
    fun `a run of a worker that leaves after its drain is given up within three seconds`() {
        val start = startJob()
        answer(start, OrderAnswer.Done(clockMillis = 100_050))
        deliver(report("1", draining = true, sequence = 2))
        answerAllFor(millis = 4_500, listed(active = listOf(ActiveRun(start.run, "", percent = 1))))
        run(coordinator.onLeave("1", workload.nowMillis))
        answerAllFor(millis = 1_500, OrderAnswer.Unknown("no answer"))
        assertEquals(TaskPhase.ASSIGNED, phase)

        answerAllFor(millis = 1_200, OrderAnswer.Unknown("no answer"))
        assertEquals(TaskPhase.WAITING, phase)
    }

    /** Guards against a task that runs twice: a draining worker may close its listener before its work ends. */
    @Test
    fun `a run of a draining worker whose address refuses connections is given up when its lease ends`() {
        val start = startJob()
        answer(start, OrderAnswer.Done(clockMillis = 100_050))
        deliver(report("1", draining = true, sequence = 2))
        answerAllFor(millis = 4_500, listed(active = listOf(ActiveRun(start.run, "", percent = 1))))
        answerAllFor(limits.drainingLeaseMillis - 600, OrderAnswer.Unknown("refused", connectionRefused = true))
        assertEquals(TaskPhase.ASSIGNED, phase)

        answerAllFor(millis = 1_500, OrderAnswer.Unknown("refused", connectionRefused = true))
        assertEquals(TaskPhase.WAITING, phase)
    }

    /** Guards against a task that runs twice: without an acknowledgement a leaving worker works on for some seconds. */
    @Test
    fun `a run of a leaving worker whose address refuses connections is given up when its lease ends`() {
        val start = startJob()
        answer(start, OrderAnswer.Done(clockMillis = 100_050))
        deliver(report("1", draining = true, sequence = 2))
        answerAllFor(millis = 4_500, listed(active = listOf(ActiveRun(start.run, "", percent = 1))))
        run(coordinator.onLeave("1", workload.nowMillis))
        answerAllFor(limits.drainingLeaseMillis - 600, OrderAnswer.Unknown("refused", connectionRefused = true))
        assertEquals(TaskPhase.ASSIGNED, phase)

        answerAllFor(millis = 1_200, OrderAnswer.Unknown("refused", connectionRefused = true))
        assertEquals(TaskPhase.WAITING, phase)
    }

    /** Guards against a run that is given up because a former address of its worker is vacant or in use again. */
    @Test
    fun `answers at a former address do not show that a worker has ended`() {
        answer(startJob(), OrderAnswer.Done(clockMillis = 100_050))
        val poll = take<WorkerOrder.Poll>()
        val moved = report("1", draining = true, sequence = 2)
        deliver(moved.copy(ref = moved.ref.copy(address = "10.0.0.2:1")))
        answer(poll, OrderAnswer.Unknown("connection refused", connectionRefused = true))
        answer(poll, OrderAnswer.OtherIncarnation)
        tick()

        assertEquals(TaskPhase.ASSIGNED, phase)
    }
}
