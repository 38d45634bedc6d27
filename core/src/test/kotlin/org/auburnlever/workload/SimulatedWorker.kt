package org.auburnlever.workload

import org.auburnlever.workload.runs.ActiveRun
import org.auburnlever.workload.runs.NumberedEnd
import org.auburnlever.workload.runs.OrderAnswer
import org.auburnlever.workload.runs.RefusalReason
import org.auburnlever.workload.runs.WorkerOrder
import org.auburnlever.workload.runs.WorkerReport
import org.auburnlever.workload.runs.start
import org.auburnlever.workload.runs.stop
import org.auburnlever.workload.state.EndKind
import org.auburnlever.workload.state.RunEnd
import org.auburnlever.workload.state.TaskId
import org.auburnlever.workload.state.TaskRun
import org.auburnlever.workload.state.WorkerRef

/** A run on a [SimulatedWorker] with [remainingMillis] of work left. */
internal class SimulatedRun(val run: TaskRun, var remainingMillis: Long)

/**
 * Simulates a worker in virtual time that implements the operators' protocol for running tasks.
 *
 * Its clock restarts with each incarnation and runs up to 2% slow ([clockPercent]). [onStart] is called with each run
 * that begins, [onAcknowledged] with each end that the worker is told to forget, unless its lease has lapsed since.
 */
internal class SimulatedWorker(
    val id: String,
    private val clockPercent: Int,
    private val onStart: (SimulatedWorker, TaskRun) -> Unit,
    private val onAcknowledged: (RunEnd) -> Unit,
    val address: String = "address-$id",
) {
    private class ListedEnd(val end: NumberedEnd, var lapsedSince: Boolean = false)

    val active = LinkedHashMap<TaskId, SimulatedRun>()
    private val ended = ArrayList<ListedEnd>()
    private val highestRuns = HashMap<TaskId, Int>()
    private var nextEnd = 1L
    private var fencingToken = 0L
    private var leaseEndMillis = 0L
    private var sequence = 0L
    var startMillis = 0L
        private set

    /** Whether the worker has started and not ended. */
    var running = false
        private set

    /** Whether the worker reports that it is about to leave. */
    var draining = false

    /** Time until which the worker refuses every order as unhealthy. */
    var unhealthyUntilMillis = 0L

    val ref: WorkerRef get() = WorkerRef(id, startMillis, address)

    private fun clockMillis(nowMillis: Long): Long = (nowMillis - startMillis) * clockPercent / PERCENT

    /** Starts a new incarnation, which knows nothing of the previous one. */
    fun restart(nowMillis: Long) {
        startMillis = nowMillis
        running = true
        active.clear()
        ended.clear()
        highestRuns.clear()
        nextEnd = 1
        fencingToken = 0
        leaseEndMillis = 0
        sequence = 0
    }

    /** Ends the worker for good, and with it everything that runs on it. */
    fun end() {
        running = false
        active.clear()
    }

    fun report(nowMillis: Long): WorkerReport {
        sequence++
        return report(id, draining = draining, sequence = sequence, startMillis = startMillis)
            .copy(ref = ref, clockMillis = clockMillis(nowMillis))
    }

    /** Advances time by [elapsedMillis]; [endKind] decides how a run ends that has finished its work. */
    fun advance(nowMillis: Long, elapsedMillis: Long, endKind: () -> EndKind) {
        if (clockMillis(nowMillis) >= leaseEndMillis) {
            active.values.toList().forEach { end(it.run, EndKind.LAPSED) }
            ended.forEach { it.lapsedSince = true }
        }
        active.values.toList().forEach { run ->
            run.remainingMillis -= elapsedMillis
            if (run.remainingMillis <= 0) end(run.run, endKind())
        }
    }

    fun carryOut(order: WorkerOrder, nowMillis: Long, workMillis: Long): OrderAnswer = when {
        nowMillis < unhealthyUntilMillis -> OrderAnswer.Refused(RefusalReason.UNHEALTHY)
        order.fencingToken < fencingToken -> OrderAnswer.Refused(RefusalReason.FENCED)
        else -> execute(order, nowMillis, workMillis)
    }

    private fun execute(order: WorkerOrder, nowMillis: Long, workMillis: Long): OrderAnswer {
        fencingToken = order.fencingToken
        return when (order) {
            is WorkerOrder.Start -> start(order, nowMillis, workMillis)
            is WorkerOrder.Stop -> stop(order.run, nowMillis)
            is WorkerOrder.Pace -> OrderAnswer.Done(clockMillis(nowMillis))
            is WorkerOrder.Poll -> poll(order, nowMillis)
        }
    }

    private fun start(order: WorkerOrder.Start, nowMillis: Long, workMillis: Long): OrderAnswer {
        val task = order.run.task
        val newest = maxOf(highestRuns[task] ?: 0, active[task]?.run?.run ?: 0)
        val refusal = when {
            active[task]?.run == order.run -> null
            order.deadlineMillis <= clockMillis(nowMillis) -> RefusalReason.TOO_LATE
            order.run.run <= newest -> RefusalReason.OUTDATED
            task in active || active.size >= SLOTS -> RefusalReason.NO_ROOM
            else -> null
        }
        if (refusal != RefusalReason.TOO_LATE) extend(order.deadlineMillis, nowMillis)
        if (refusal == null && task !in active) {
            onStart(this, order.run)
            active[task] = SimulatedRun(order.run, workMillis)
        }
        return refusal?.let { OrderAnswer.Refused(it) } ?: OrderAnswer.Done(clockMillis(nowMillis))
    }

    private fun stop(run: TaskRun, nowMillis: Long): OrderAnswer {
        highestRuns.merge(run.task, run.run, ::maxOf)
        active[run.task]?.takeIf { it.run.run <= run.run }?.let { end(it.run, EndKind.STOPPED) }
        return OrderAnswer.Done(clockMillis(nowMillis))
    }

    private fun poll(order: WorkerOrder.Poll, nowMillis: Long): OrderAnswer {
        order.deadlineMillis?.let { extend(it, nowMillis) }
        val (acknowledged, remaining) = ended.partition { it.end.number <= order.acknowledgedEnd }
        acknowledged.filter { !it.lapsedSince }.forEach { onAcknowledged(it.end.end) }
        ended.clear()
        ended += remaining
        val runs = active.values.map { ActiveRun(it.run, "", percent = (it.remainingMillis % PERCENT).toInt()) }
        return OrderAnswer.Listed(clockMillis(nowMillis), startMillis, runs, ended.map { it.end })
    }

    private fun extend(deadlineMillis: Long, nowMillis: Long) {
        val latestMillis = clockMillis(nowMillis) + LONGEST_LEASE_MILLIS
        leaseEndMillis = maxOf(leaseEndMillis, minOf(deadlineMillis, latestMillis))
    }

    private fun end(run: TaskRun, kind: EndKind) {
        active -= run.task
        highestRuns.merge(run.task, run.run, ::maxOf)
        ended += ListedEnd(NumberedEnd(nextEnd++, RunEnd(run, kind, "")))
    }

    companion object {
        const val SLOTS = 8
        private const val PERCENT = 100
        private const val LONGEST_LEASE_MILLIS = 10_000L
    }
}
