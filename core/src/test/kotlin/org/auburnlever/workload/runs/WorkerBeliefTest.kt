package org.auburnlever.workload.runs

import org.auburnlever.workload.CoordinatorEffect
import org.auburnlever.workload.CoordinatorHarness
import org.auburnlever.workload.ProposalTag
import org.auburnlever.workload.address
import org.auburnlever.workload.report
import org.auburnlever.workload.state.Assignment
import org.auburnlever.workload.state.EndKind
import org.auburnlever.workload.state.RunEnd
import org.auburnlever.workload.state.TaskId
import org.auburnlever.workload.state.TaskPhase
import org.auburnlever.workload.state.WorkloadCommand
import org.auburnlever.workload.state.answer
import org.auburnlever.workload.state.apply
import org.auburnlever.workload.state.assign
import org.auburnlever.workload.step
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Checks that what the leader believes of a worker neither outlives its evidence nor is given up too early. */
internal class WorkerBeliefTest : CoordinatorHarness() {
    private val task = TaskId(JOB, 0, 0, 0)
    private val phase: TaskPhase? get() = workload.state.task(task)?.phase

    private fun List<CoordinatorEffect>.proposed(): List<CoordinatorEffect.Propose> =
        filterIsInstance<CoordinatorEffect.Propose>()

    /** Lets an idle worker with an expired lease refuse its polls, but report, for longer than a lease. */
    private fun refusePollsOfIdleWorker() {
        deliver(report("1"))
        repeat((limits.leaseSafeMillis * 2 / 100).toInt()) { index ->
            if (index % 10 == 0) {
                val clockMillis = 100_000 + workload.nowMillis - 10_000
                val report = report("1", sequence = index + 2L).copy(clockMillis = clockMillis)
                deliver(report)
            }
            tick()
            orders.toList().forEach { answer(it, OrderAnswer.Refused(RefusalReason.UNHEALTHY)) }
            orders.clear()
        }
    }

    /**
     * Guards against a task that runs twice: the driver ticks with the state that holds an assignment before it passes
     * the reply of the proposal to the coordinator, as `GroupRunner.runBatch` does.
     */
    @Test
    fun `a run is not recorded as lost between its assignment and its start`() {
        refusePollsOfIdleWorker()
        workload.submit("routine", JOB, step(tasks = 1))
        coordinator.onChange(workload.nowMillis)
        workload.nowMillis += 300
        val nowMillis = workload.nowMillis
        // Without an assignment, there is no run that could be given up.
        val planned = coordinator.tick(workload.state, nowMillis, nowMillis).proposed()
            .firstOrNull { it.tag == ProposalTag.Assign } ?: return
        val reply = workload.apply(planned.command)
        workload.nowMillis += 50
        val between = coordinator.tick(workload.state, workload.nowMillis, workload.nowMillis)
        val applied =
            coordinator.onApplied(workload.state, planned.tag, reply, workload.nowMillis, workload.nowMillis)

        val lost = between.proposed().map { it.command }.filterIsInstance<WorkloadCommand.RecordEnds>()
        val started = applied.filterIsInstance<CoordinatorEffect.Order>().map { it.order }
            .filterIsInstance<WorkerOrder.Start>()
        assertTrue(lost.isEmpty() || started.isEmpty(), "lost and started: $lost, $started")
    }

    /** Carries out effects like the driver: the state changes, a tick follows, then the reply is passed on. */
    private fun runLikeDriver(effects: List<CoordinatorEffect>) {
        val queue = ArrayDeque(effects)
        while (queue.isNotEmpty()) {
            when (val effect = queue.removeFirst()) {
                is CoordinatorEffect.Order -> orders += effect.order
                is CoordinatorEffect.Log -> logEntries += effect.entry
                is CoordinatorEffect.Propose -> {
                    val reply = workload.apply(effect.command)
                    workload.nowMillis += 50
                    val nowMillis = workload.nowMillis
                    queue += coordinator.tick(workload.state, nowMillis, nowMillis)
                    queue += coordinator.onApplied(workload.state, effect.tag, reply, nowMillis, nowMillis)
                }
            }
        }
    }

    /**
     * Guards against a task that runs twice on a worker that once refused a start and a poll as unhealthy. It has been
     * healthy since, but is not polled while it is idle, so the refused poll still counts when it gets its next run.
     */
    @Test
    fun `the next run of a worker that was unhealthy for a moment is not given up at its start`() {
        val refused = startJob(step(tasks = 1, accelerators = 8))
        answer(take<WorkerOrder.Poll>(), listed())
        tick()
        val unhealthy = OrderAnswer.Refused(RefusalReason.UNHEALTHY)
        answer(take<WorkerOrder.Poll>(), unhealthy)
        answer(refused, unhealthy)
        workload.apply(WorkloadCommand.CancelJob(address("routine", JOB)))
        var sequence = 2L
        repeat(80) {
            val clockMillis = 100_000 + workload.nowMillis - 10_000
            val report = report("1", sequence = sequence++).copy(clockMillis = clockMillis)
            deliver(report)
            tick()
            orders.toList().forEach { answer(it, listed().copy(clockMillis = clockMillis)) }
            orders.clear()
        }
        val next = "00000000000000a2"
        workload.submit("routine", next, step(tasks = 1))
        coordinator.onChange(workload.nowMillis)
        workload.nowMillis += 300
        runLikeDriver(coordinator.tick(workload.state, workload.nowMillis, workload.nowMillis))

        val starts = orders.filterIsInstance<WorkerOrder.Start>().filter { it.run.task.job == next }
        val lost = logEntries.filter { it.event == "task_lost" && it.id.startsWith(next) }
        assertTrue(lost.isEmpty(), "given up: ${lost.map { it.id }}, though ordered to start: ${starts.map { it.run }}")
    }

    /** Guards against a run that is never given up because polls without any answer do not count as failed. */
    @Test
    fun `a run of a worker whose polls are never answered is given up`() {
        startJob()
        orders.clear()
        repeat(600) { tick() }

        val current = workload.state.task(task)
        assertTrue(
            current?.phase == TaskPhase.WAITING || (current?.run ?: 0) > 1,
            "60 s without any answer: $current",
        )
    }

    /** Guards against the same for a start, since only runs whose start was answered count as missing. */
    @Test
    fun `a run whose start is never answered is given up when its worker does not list it`() {
        startJob()
        repeat(200) {
            tick()
            orders.toList().also { orders.clear() }.forEach {
                when (it) {
                    is WorkerOrder.Start, is WorkerOrder.Pace -> Unit
                    is WorkerOrder.Stop -> answer(it, OrderAnswer.Done(clockMillis = 100_100))
                    is WorkerOrder.Poll -> answer(it, listed())
                }
            }
        }

        val current = workload.state.task(task)
        assertTrue(current?.phase == TaskPhase.WAITING || (current?.run ?: 0) > 1, "20 s not listed: $current")
    }

    /** Guards against a lease that outlasts the moment at which its runs are given up. */
    @Test
    fun `the lease of a worker with a slow clock ends before its runs are given up`() {
        val beginMillis = workload.nowMillis
        fun shown() = 100_000 + (workload.nowMillis - beginMillis) * 98 / 100
        repeat(60) { index ->
            val report = report("1", sequence = index + 1L).copy(clockMillis = shown())
            deliver(report)
            tick(afterMillis = 1_000)
            orders.toList().forEach { answer(it, listed().copy(clockMillis = shown())) }
            orders.clear()
        }
        workload.submit("routine", JOB, step(tasks = 1))
        tick(afterMillis = 500)
        val start = take<WorkerOrder.Start>()
        val leaseMillis = (start.deadlineMillis - shown()) * 100 / 98

        assertTrue(
            leaseMillis <= limits.leaseSafeMillis,
            "lease of $leaseMillis ms, given up after ${limits.leaseSafeMillis} ms",
        )
    }

    /** Guards against ends that are forgotten unrecorded since those of an earlier incarnation are acknowledged. */
    @Test
    fun `ends recorded of an earlier incarnation are not acknowledged to the later one`() {
        val start = startJob()
        answer(start, OrderAnswer.Done(clockMillis = 100_050))
        val poll = take<WorkerOrder.Poll>()
        val end = NumberedEnd(50, RunEnd(start.run, EndKind.DONE, ""))
        val nowMillis = workload.nowMillis
        val list = listed(ended = listOf(end))
        val effects = coordinator.onAnswer(workload.state, poll, list, nowMillis - 10, nowMillis)
        val proposal = effects.proposed().single()
        deliver(report("1", startMillis = 2))
        val reply = workload.apply(proposal.command)
        run(coordinator.onApplied(workload.state, proposal.tag, reply, nowMillis, nowMillis))
        orders.clear()
        tick()

        assertEquals(0, take<WorkerOrder.Poll>().acknowledgedEnd)
    }

    /** Guards against the same by a list that was sent before the worker restarted and arrives after its report. */
    @Test
    fun `a late list of an earlier incarnation is not taken for one of the later one`() {
        val start = startJob()
        answer(start, OrderAnswer.Done(clockMillis = 100_050))
        val poll = take<WorkerOrder.Poll>()
        deliver(report("1", startMillis = 2))
        answer(poll, listed(ended = listOf(NumberedEnd(50, RunEnd(start.run, EndKind.DONE, "")))))
        tick()

        assertEquals(0, take<WorkerOrder.Poll>().acknowledgedEnd)
    }

    /** Guards against the loss of a live run since a late departure is taken for the current incarnation's. */
    @Test
    fun `a late departure that reaches a new leader first does not end the runs of the later incarnation`() {
        workload.submit("routine", JOB, step(tasks = 1))
        val later = report("9", startMillis = 2).ref
        workload.apply(WorkloadCommand.Assign(listOf(Assignment(task.stepId, run = 1, mapOf(0 to later)))))
        tick()
        run(coordinator.onLeave("9", workload.nowMillis))
        answer(take<WorkerOrder.Poll>(), OrderAnswer.Unknown("no answer"))
        tick(afterMillis = 1_100)

        assertEquals(TaskPhase.ASSIGNED, phase)
    }

    /** Guards against a task that never starts again since a worker that does not list it refuses each stop. */
    @Test
    fun `a run that is not listed and whose stops are all refused ends at last`() {
        val start = startJob()
        answer(start, OrderAnswer.Unknown("no answer"))
        repeat(600) {
            tick()
            orders.toList().forEach {
                val refused = OrderAnswer.Refused(RefusalReason.UNHEALTHY)
                answer(it, if (it is WorkerOrder.Poll) listed() else refused)
            }
            orders.clear()
        }

        val current = workload.state.task(task)
        assertTrue(current?.phase == TaskPhase.WAITING || (current?.run ?: 0) > 1, "60 s not listed: $current")
    }

    /** Guards against a task that starts again and again on the one worker that lists nothing, beside an idle one. */
    @Test
    fun `a task that was given up on a worker that lists nothing starts on another worker`() {
        val start = startJob(step(tasks = 1).copy(longRunning = true))
        answer(start, OrderAnswer.Done(clockMillis = 100_050))
        val startedOn = ArrayList<String>()
        repeat(400) { index ->
            if (index % 10 == 0) {
                listOf("1", "2").forEach {
                    deliver(report(it, sequence = index + 2L))
                }
            }
            tick()
            orders.toList().forEach {
                if (it is WorkerOrder.Start) startedOn += it.worker.id
                val poll = if (it.worker.id == "1") OrderAnswer.Refused(RefusalReason.UNHEALTHY) else listed()
                answer(it, if (it is WorkerOrder.Poll) poll else OrderAnswer.Done(clockMillis = 100_100))
            }
            orders.clear()
        }

        assertTrue("2" in startedOn, "started in 40 s only on $startedOn")
    }

    /** Guards against a lease of the worker's longest length, as granted for a deadline that is not of its clock. */
    @Test
    fun `a task that was assigned to a worker whose clock is not known is not started there`() {
        // A decision failed, so this coordinator is new, and the proposal of the earlier one is applied now.
        workload.submit("routine", JOB, step(tasks = 1))
        val reply = workload.assign(JOB, run = 1, workers = mapOf(0 to "9"))
        run(coordinator.onApplied(workload.state, ProposalTag.Assign, reply, workload.nowMillis, workload.nowMillis))

        assertEquals(emptyList(), orders.filterIsInstance<WorkerOrder.Start>())
        assertEquals(TaskPhase.WAITING, phase)
    }

    /** Guards against a lease that outlasts its count since a report of another writer showed too high a clock. */
    @Test
    fun `a report with a false clock does not change a lease`() {
        deliver(report("1"))
        deliver(report("1", sequence = 2).copy(clockMillis = 900_000_000))
        workload.submit("routine", JOB, step(tasks = 1))
        tick(afterMillis = 1_000)

        assertEquals(99_000 + 980 + limits.leaseMillis, take<WorkerOrder.Start>().deadlineMillis)
    }

    /** Guards against leases that are too short to be renewed since the clock of an idle worker was read long ago. */
    @Test
    fun `the clock of an idle worker is read again before its lag shortens a lease much`() {
        deliver(report("1"))
        repeat(600) { index ->
            tick()
            val clockMillis = 100_000L + (index + 1) * 100
            if (index % 10 == 0) deliver(report("1", sequence = index + 2L))
            orders.toList().also { orders.clear() }.forEach { answer(it, listed().copy(clockMillis = clockMillis)) }
        }
        workload.submit("routine", JOB, step(tasks = 1))
        tick(afterMillis = 500)
        val leaseMillis = take<WorkerOrder.Start>().deadlineMillis - 160_500

        assertTrue(leaseMillis in limits.leaseMillis - 400..limits.leaseMillis, "lease of $leaseMillis ms")
    }

    /** Guards against an end that the worker is told to forget although the proposal to record it had failed. */
    @Test
    fun `an end whose proposal failed is not acknowledged with a later one`() {
        val first = startJob(step(tasks = 2))
        val second = take<WorkerOrder.Start>()
        listOf(first, second).forEach { answer(it, OrderAnswer.Done(clockMillis = 100_050)) }
        val ends = listOf(first, second).mapIndexed { index, start ->
            NumberedEnd(index + 1L, RunEnd(start.run, EndKind.DONE, ""))
        }
        val proposals = ends.indices.flatMap { index ->
            val poll = WorkerOrder.Poll(first.worker, TERM, 0, deadlineMillis = null, waitMillis = 0)
            val nowMillis = workload.nowMillis
            coordinator.onAnswer(workload.state, poll, listed(ended = ends.take(index + 1)), nowMillis - 10, nowMillis)
                .proposed()
        }
        run(coordinator.onNotApplied(proposals[0].tag, workload.nowMillis))
        val reply = workload.apply(proposals[1].command)
        val nowMillis = workload.nowMillis
        run(coordinator.onApplied(workload.state, proposals[1].tag, reply, nowMillis, nowMillis))
        orders.clear()
        tick(afterMillis = 6_100)

        assertEquals(0, take<WorkerOrder.Poll>().acknowledgedEnd, "end 1 is not recorded")
    }

    /** Guards against a run that no leader watches any more after the proposal to record its end has failed at once. */
    @Test
    fun `a run whose end could not be recorded is polled again`() {
        val start = startJob()
        answer(start, OrderAnswer.Done(clockMillis = 100_050))
        tick(afterMillis = 100)
        val poll = WorkerOrder.Poll(start.worker, TERM, 0, deadlineMillis = null, waitMillis = 0)
        val nowMillis = workload.nowMillis
        val ended = listed(ended = listOf(NumberedEnd(1, RunEnd(start.run, EndKind.DONE, ""))))
        val proposal = coordinator.onAnswer(workload.state, poll, ended, nowMillis - 10, nowMillis).proposed().single()
        run(coordinator.onNotApplied(proposal.tag, nowMillis))
        orders.clear()
        tick(afterMillis = 6_100)

        assertTrue(take<WorkerOrder.Poll>().waitMillis > 0, "the worker does not count as busy")
    }

    /** Guards against a start on a crashed worker whose delayed report arrives between two answers of its successor. */
    @Test
    fun `a late report of a replaced worker does not make it usable before it has answered a call`() {
        val start = startJob()
        answer(start, OrderAnswer.Done(clockMillis = 100_050))
        answerReplaced(take())
        deliver(report("1", sequence = 2))
        orders.clear()
        workload.submit("routine", "00000000000000a2", step(tasks = 1))
        tick(afterMillis = 1_000)

        assertTrue(orders.none { it is WorkerOrder.Start }, "started on a worker that has ended: $orders")
    }

    /** Guards against a worker that gets no work any more after one misdirected answer. */
    @Test
    fun `a worker that reports and answers after an answer of another one gets work again`() {
        val start = startJob()
        answer(start, OrderAnswer.Done(clockMillis = 100_050))
        answerReplaced(take())
        tick()
        orders.clear()
        deliver(report("1", sequence = 2))
        tick(afterMillis = 500)
        answer(take<WorkerOrder.Poll>(), listed())
        workload.submit("routine", "00000000000000a2", step(tasks = 1))
        tick(afterMillis = 500)

        assertTrue(orders.any { it is WorkerOrder.Start }, "no start: $orders")
    }
}
