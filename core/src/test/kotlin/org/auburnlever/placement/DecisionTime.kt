package org.auburnlever.placement

import org.auburnlever.codec.Codec
import org.auburnlever.configuration.Bundle
import org.auburnlever.ledger.BASE_MILLIS
import org.auburnlever.ledger.FakeWorker
import org.auburnlever.ledger.LeaderState
import org.auburnlever.ledger.LedgerCommand
import org.auburnlever.ledger.LedgerState
import org.auburnlever.ledger.RequestKey
import org.auburnlever.ledger.SERVICE
import org.auburnlever.ledger.ScheduleAction
import org.auburnlever.ledger.account
import org.auburnlever.ledger.apply
import org.auburnlever.ledger.bundle
import org.auburnlever.ledger.checkInvariants
import org.auburnlever.ledger.summary
import org.auburnlever.model.AccountName
import org.auburnlever.model.RackName
import org.auburnlever.model.Shape
import org.auburnlever.model.Spread
import org.auburnlever.model.WorkerName
import org.auburnlever.wire.JobPhase
import org.auburnlever.wire.JobSpec
import org.auburnlever.wire.TaskReport
import org.auburnlever.wire.TaskStatus
import org.auburnlever.wire.WorkerHeartbeat
import java.lang.management.ManagementFactory
import kotlin.random.Random

private val threads = ManagementFactory.getThreadMXBean()

/**
 * Prints the processor time of plans and applied commands.
 *
 * Arguments: `<workers> <accelerators> <running tasks> <queued jobs> <rounds>`. It is not a test, since times depend on
 * the machine. It measures processor time, since elapsed time would also count other processes.
 */
fun main(arguments: Array<String>) {
    val (workers, accelerators, tasks) = arguments.map { it.toInt() }
    val (queued, rounds) = arguments.drop(3).map { it.toInt() }
    val accounts = List(4) { account("account-$it", Int.MAX_VALUE, Shape(2, 8), Shape(1, 4)) }
    val load = Load(Random(1), bundle(1).copy(accounts = accounts))
    load.addWorkers(workers, accelerators)
    load.fill(tasks)
    repeat(rounds) { load.round(tasks, queued) }
    load.report()
    listOf(5_000, 10_000).forEach { load.cancelWave(it) }
}

private class Load(private val random: Random, private val bundle: Bundle) {
    private var state = LedgerState(FakeWorker.DOMAIN)
    private val leader = LeaderState(BASE_MILLIS)
    private var nowMillis = BASE_MILLIS
    private var index = 0L
    private var submitted = 0
    private val plans = mutableListOf<Long>()
    private val applies = mutableListOf<Long>()
    private var preempted = 0
    private var placed = 0

    fun addWorkers(count: Int, accelerators: Int) = repeat(count) {
        val size = if (it < accelerators / 8) 8 else 0
        val rack = RackName("rack-${it / 8}")
        val heartbeat = WorkerHeartbeat(WorkerName("w$it"), FakeWorker.DOMAIN, rack, it % 8, 1, 1, size, 128, 512_000)
        apply(LedgerCommand.WorkerSeen(heartbeat))
    }

    fun fill(tasks: Int) {
        plan()
        repeat(16) { submit(accelerated = true) }
        while (runningTasks() < tasks && submitted < 4 * tasks) {
            repeat(8) { submit(accelerated = true) }
            repeat(48) { submit(accelerated = false) }
            plan()
            advanceGangs()
        }
    }

    /** Ends a few jobs, submits new ones, plans, and advances the phases of all gangs. */
    fun round(tasks: Int, queued: Int) {
        nowMillis += 100
        val ends = if (runningTasks() > tasks) 4 else 1
        state.jobs.active.shuffled(random).take(ends).forEach { report(it, TaskStatus.COMPLETED) }
        if (runningTasks() < tasks) repeat(2) { submit(accelerated = false) }
        repeat((queued - state.jobs.queued.size).coerceIn(0, 64)) { submit(accelerated = true) }
        plan()
        advanceGangs()
    }

    fun report() {
        check(state.checkInvariants().isEmpty())
        val summary = state.summary()
        println(
            "running tasks ${runningTasks()}, queued ${state.jobs.queued.size}, placed $placed, preempted $preempted"
        )
        println("accelerators ${summary.acceleratorsTotal}, free ${summary.acceleratorsFree}")
        println("plan: ${quantiles(plans.drop(plans.size / 4))}")
        println("apply: ${quantiles(applies.drop(applies.size / 4))}")
        repeat(5) {
            val start = threads.currentThreadCpuTime
            val size = Codec.encode(state).size
            println("snapshot: $size bytes in ${(threads.currentThreadCpuTime - start) / 1_000} us")
        }
    }

    /** Prints the time of [count] cancellations of queued jobs in a row. */
    fun cancelWave(count: Int) {
        val first = submitted
        repeat(count) { submit(accelerated = true) }
        val commands = (first until submitted).mapNotNull { state.job("j$it") }
            .map { LedgerCommand.CancelJob(it.jobId, it.account) }
        val start = threads.currentThreadCpuTime
        commands.forEach { apply(it) }
        val perCommand = (threads.currentThreadCpuTime - start) / commands.size / 1_000
        println("cancel wave of ${commands.size}: $perCommand us each")
    }

    private fun quantiles(nanos: List<Long>): String {
        val sorted = nanos.sorted()
        val (p50, p99) = listOf(50, 99).map { sorted[sorted.size * it / 100] / 1_000 }
        return "n=${sorted.size} p50=$p50 us p99=$p99 us max=${sorted.last() / 1_000} us"
    }

    private fun runningTasks(): Int = state.workers.values.sumOf { it.held.size }

    private fun apply(command: LedgerCommand) {
        val start = threads.currentThreadCpuTime
        state = state.apply(command, ++index, nowMillis).state
        applies += threads.currentThreadCpuTime - start
    }

    private fun plan() {
        val start = threads.currentThreadCpuTime
        val actions = Scheduler.plan(state, bundle, FakeWorker.DOMAIN, leader, nowMillis)
        plans += threads.currentThreadCpuTime - start
        placed += actions.count { it is ScheduleAction.Place }
        preempted += actions.count { it is ScheduleAction.Preempt }
        if (actions.isNotEmpty()) apply(LedgerCommand.Schedule(actions))
    }

    private fun submit(accelerated: Boolean) {
        val kind = random.nextInt(8)
        val shape = when {
            !accelerated -> Shape(random.nextInt(1, 12), 0, random.nextInt(1, 7), spread = Spread.DOMAIN)
            kind == 0 -> Shape(random.nextInt(2, 9), 8, spread = Spread.DOMAIN)
            kind == 1 -> Shape(2, 8)
            else -> Shape(1, random.nextInt(1, 9))
        }
        val jobId = "j${submitted++}"
        val key = RequestKey(AccountName("account-${random.nextInt(4)}"), "${nowMillis / 1_000}-$jobId")
        val spec = JobSpec(SERVICE, shape, random.nextLong(60, 7_200), urgent = random.nextInt(20) == 0)
        apply(LedgerCommand.SubmitJob(jobId, key, "digest", spec))
    }

    private fun advanceGangs() = state.jobs.active.toList().forEach { jobId ->
        when (state.job(jobId)?.phase) {
            JobPhase.RESERVING -> {
                report(jobId, TaskStatus.RESERVED)
                report(jobId, TaskStatus.RUNNING)
            }
            JobPhase.STOPPING -> report(jobId, TaskStatus.STOPPED)
            else -> Unit
        }
    }

    private fun report(jobId: String, status: TaskStatus) {
        val job = state.jobs.all.getValue(jobId)
        job.tasks.forEachIndexed { task, record ->
            val report = TaskReport(jobId, task, job.token, status)
            apply(LedgerCommand.TasksReported(record.placement.worker, 1, listOf(report)))
        }
    }
}
