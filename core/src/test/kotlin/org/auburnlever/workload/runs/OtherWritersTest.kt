package org.auburnlever.workload.runs

import org.auburnlever.workload.CoordinatorHarness
import org.auburnlever.workload.report
import org.auburnlever.workload.state.EndKind
import org.auburnlever.workload.state.RunEnd
import org.auburnlever.workload.state.TaskId
import org.auburnlever.workload.state.TaskPhase
import org.auburnlever.workload.state.answer
import org.auburnlever.workload.step
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

private const val OTHER_ADDRESS = "10.0.0.7:1"

/** Checks that a report alone, which anyone can write, neither ends a worker's runs nor changes what is known of it. */
internal class OtherWritersTest : CoordinatorHarness() {
    private val phase: TaskPhase? get() = workload.state.task(TaskId(JOB, 0, 0, 0))?.phase

    private fun reportOf(startMillis: Long, address: String = report("1").ref.address): WorkerReport {
        val claimed = report("1", startMillis = startMillis, sequence = 1_000)
        return claimed.copy(ref = claimed.ref.copy(address = address), clockMillis = 900_000_000)
    }

    private fun begunJob(): WorkerOrder.Start = startJob().also { answer(it, OrderAnswer.Done(clockMillis = 100_050)) }

    private fun receive(report: WorkerReport) = run(coordinator.onReport(report, workload.nowMillis))

    /** Answers the polls at the worker's address as its first incarnation, and those elsewhere with [elsewhere]. */
    private fun answerPolls(start: WorkerOrder.Start, elsewhere: OrderAnswer) {
        val atWorker = listed(active = listOf(ActiveRun(start.run, "", percent = 1)))
        val polls = orders.filterIsInstance<WorkerOrder.Poll>().also { orders -= it.toSet() }
        polls.forEach { answer(it, if (it.worker.address == start.worker.address) atWorker else elsewhere) }
    }

    /** Guards against a task that runs twice since a report of another writer makes its worker look restarted. */
    @Test
    fun `a report of a later incarnation does not end the runs of a worker that answers as the earlier one`() {
        listOf(report("1").ref.address, OTHER_ADDRESS).forEach { address ->
            listOf(OrderAnswer.Unknown("no answer"), OrderAnswer.OtherIncarnation).forEach { elsewhere ->
                OtherWritersTest().checkRunStays(address, elsewhere)
            }
        }
    }

    private fun checkRunStays(address: String, elsewhere: OrderAnswer) {
        val start = begunJob()
        repeat(50) {
            receive(reportOf(startMillis = 5, address))
            tick()
            answerPolls(start, elsewhere)
        }
        assertEquals(TaskPhase.ASSIGNED, phase, "given up after a report from $address and $elsewhere")
        assertTrue(orders.none { it is WorkerOrder.Stop }, "stopped: $orders")
    }

    /** Guards against polls that go to another address, so that the lease of a sound worker runs out. */
    @Test
    fun `a report with another address does not move a worker that does not answer there`() {
        val start = begunJob()
        receive(reportOf(startMillis = 1, OTHER_ADDRESS))
        answerPolls(start, OrderAnswer.Unknown("no answer"))
        orders.clear()
        tick(afterMillis = 6_100)

        assertTrue(orders.any { it is WorkerOrder.Poll && it.worker == start.worker }, "not polled: $orders")
    }

    /** Guards against true reports that count as late since another writer's report had a higher sequence. */
    @Test
    fun `a report that is not believed leaves the sequence and the clock as they are`() {
        val start = begunJob()
        receive(reportOf(startMillis = 5))
        answerPolls(start, OrderAnswer.Unknown("no answer"))
        receive(report("1", sequence = 2, draining = true))
        tick(afterMillis = 1_500)

        assertTrue(logEntries.any { it.event == "worker_state" }, "the worker's own report is ignored")
        val deadlines = orders.filterIsInstance<WorkerOrder.Poll>().mapNotNull { it.deadlineMillis }
        assertTrue(deadlines.isNotEmpty() && deadlines.all { it < 200_000 }, "deadlines by a false clock: $deadlines")
    }

    /** Guards against a worker that counts as draining for ever since another writer's report had a high sequence. */
    @Test
    fun `the reports of a worker count again after one of another writer with a higher sequence`() {
        val start = begunJob()
        receive(report("1", sequence = 1_000_000, draining = true))
        workload.submit("routine", "00000000000000a2", step(tasks = 1))
        repeat(4) { index ->
            repeat(15) {
                tick()
                answerPolls(start, OrderAnswer.Unknown("no answer"))
            }
            receive(report("1", sequence = index + 2L))
        }
        tick(afterMillis = 500)

        assertTrue(orders.any { it is WorkerOrder.Start }, "no work for a worker that is ready: $orders")
    }

    /** Guards against work for a draining worker, whose earlier reports arrive after a time without a connection. */
    @Test
    fun `late reports that arrive together do not undo that a worker drains`() {
        val start = begunJob()
        receive(report("1", sequence = 10, draining = true))
        workload.submit("routine", "00000000000000a2", step(tasks = 1))
        repeat(50) {
            tick()
            answerPolls(start, OrderAnswer.Unknown("no answer"))
        }
        (2L..9L).forEach { receive(report("1", sequence = it)) }
        tick(afterMillis = 500)

        assertTrue(orders.none { it is WorkerOrder.Start }, "work for a draining worker: $orders")
    }

    /** Guards against tasks that wait for a lease although their worker has restarted. */
    @Test
    fun `the runs of a restarted worker are given up once it has answered as the later incarnation`() {
        begunJob()
        orders.clear()
        receive(reportOf(startMillis = 5))
        val question = take<WorkerOrder.Poll>()
        assertEquals(5, question.worker.startMillis)
        answer(question, OrderAnswer.Listed(10, workerStartMillis = 5, emptyList(), emptyList()))
        tick()

        assertEquals(TaskPhase.WAITING, phase)
    }

    /** Guards against a restart that stays unknown since the first question got lost. */
    @Test
    fun `a worker that does not confirm a report is asked again while it reports`() {
        begunJob()
        orders.clear()
        receive(reportOf(startMillis = 5, OTHER_ADDRESS))
        answer(take<WorkerOrder.Poll>(), OrderAnswer.Unknown("no answer"))
        tick(afterMillis = 400)
        assertTrue(orders.any { it.worker.address == OTHER_ADDRESS }, "not asked again: $orders")

        tick(afterMillis = limits.reportLimitMillis)
        orders.clear()
        tick(afterMillis = 400)
        assertTrue(orders.none { it.worker.address == OTHER_ADDRESS }, "asked without further reports: $orders")
    }

    /** Guards against a restarted worker that gets no work until its next report. */
    @Test
    fun `a report that a list has confirmed meanwhile counts`() {
        begunJob()
        receive(reportOf(startMillis = 5))
        val poll = orders.first { it is WorkerOrder.Poll && it.worker.startMillis == 1L }
        val restarted = OrderAnswer.Listed(10, workerStartMillis = 5, emptyList(), emptyList())
        answer(poll, restarted)
        orders.clear()
        repeat(2) {
            tick(afterMillis = 300)
            orders.filterIsInstance<WorkerOrder.Poll>().also { orders -= it.toSet() }.forEach { answer(it, restarted) }
        }

        assertTrue(orders.any { it is WorkerOrder.Start }, "no start on the later incarnation: $orders")
    }

    /** Guards against a lease that a poll in flight for the earlier incarnation gives to the later one. */
    @Test
    fun `a run of a restarted worker that falls silent is not given up before the longest lease since the restart`() {
        val poll = begunJob().let { take<WorkerOrder.Poll>() }
        answer(poll, OrderAnswer.Listed(10, workerStartMillis = 5, emptyList(), emptyList()))
        val restartedMillis = workload.nowMillis
        receive(report("1", startMillis = 5))
        while (orders.none { it is WorkerOrder.Start && it.worker.startMillis == 5L }) {
            tick()
            val polls = orders.filterIsInstance<WorkerOrder.Poll>().also { orders -= it.toSet() }
            polls.forEach { answer(it, OrderAnswer.Listed(100, workerStartMillis = 5, emptyList(), emptyList())) }
        }
        while (workload.nowMillis < restartedMillis + limits.longestLeaseMillis) {
            val sinceMillis = workload.nowMillis - restartedMillis
            assertEquals(TaskPhase.ASSIGNED, phase, "given up $sinceMillis ms after the restart")
            tick()
            orders.toList().also { orders.clear() }.forEach { answer(it, OrderAnswer.Unknown("no answer")) }
        }
    }

    /** Guards against a leader that is busy with calls and log lines because of a flood of false reports. */
    @Test
    fun `a flood of false reports costs a bounded number of calls`() {
        val start = begunJob()
        repeat(10_000) { receive(reportOf(startMillis = 5L + it, OTHER_ADDRESS)) }
        val atOnce = orders.count { it.worker.address == OTHER_ADDRESS }
        repeat(60) {
            receive(reportOf(startMillis = 5, OTHER_ADDRESS))
            tick()
            answerPolls(start, OrderAnswer.Unknown("no answer"))
        }
        orders.clear()
        repeat(600) { index ->
            if (index % 15 == 0) receive(reportOf(startMillis = 5, OTHER_ADDRESS))
            tick()
        }
        val inOneMinute = orders.count { it.worker.address == OTHER_ADDRESS }

        assertTrue(atOnce <= 1_000 && inOneMinute <= 30, "calls: $atOnce at once, $inOneMinute for one report a minute")
    }

    /** Guards against a task that runs twice since a single answer was misdirected. */
    @Test
    fun `one answer of another worker does not end the runs of a worker that answers after it`() {
        val start = begunJob()
        answer(take<WorkerOrder.Poll>(), OrderAnswer.OtherIncarnation)
        tick()
        answerPolls(start, OrderAnswer.Unknown("no answer"))
        tick()

        assertEquals(TaskPhase.ASSIGNED, phase)
    }

    /** Guards against a list of an earlier incarnation that is read as one of the incarnation that was polled. */
    @Test
    fun `ends that another incarnation lists are not recorded`() {
        val start = begunJob()
        val end = NumberedEnd(7, RunEnd(start.run, EndKind.DONE, ""))
        answer(take<WorkerOrder.Poll>(), listed(ended = listOf(end)).copy(workerStartMillis = 0))

        assertEquals(TaskPhase.ASSIGNED, phase)
    }
}
