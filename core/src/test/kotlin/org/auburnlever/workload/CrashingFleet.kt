package org.auburnlever.workload

import org.auburnlever.workload.runs.ActiveRun
import org.auburnlever.workload.runs.NumberedEnd
import org.auburnlever.workload.runs.OrderAnswer
import org.auburnlever.workload.runs.WorkerOrder
import org.auburnlever.workload.runs.WorkerReport
import org.auburnlever.workload.runs.start
import org.auburnlever.workload.runs.stop
import org.auburnlever.workload.state.EndKind
import org.auburnlever.workload.state.RunEnd
import org.auburnlever.workload.state.TaskId
import org.auburnlever.workload.state.TaskRun
import org.auburnlever.workload.state.WorkerRef

/**
 * Simulates workers that crash when they start a task for which [crashes] returns true.
 *
 * A crashed worker does not answer for [DOWN_MILLIS]. Then another worker answers at its address, or, with
 * [keepsIds], a later incarnation of it.
 */
internal class CrashingFleet(size: Int, private val keepsIds: Boolean, private val crashes: (TaskId) -> Boolean) {
    private class Machine(var ref: WorkerRef) {
        val endMillisByRun = LinkedHashMap<TaskRun, Long>()
        val ended = ArrayList<NumberedEnd>()
        var endCount = 0L
        var upMillis = 0L
        var sequence = 0L
        var upSinceMillis = 0L
    }

    private val machines = List(size) { Machine(ref("m$it")) }

    /** Runs that workers have started, in order, each with the worker's other runs at that time. */
    val starts = ArrayList<Pair<TaskRun, Set<TaskRun>>>()

    /** Reports that the workers send at [nowMillis]. */
    fun reports(nowMillis: Long): List<WorkerReport> = machines.filter { nowMillis >= it.upMillis }.map {
        report(it.ref.id, sequence = ++it.sequence).copy(ref = it.ref, clockMillis = it.clockMillis(nowMillis))
    }

    /** Ends the runs that have done their work by [nowMillis]. */
    fun advance(nowMillis: Long) = machines.forEach { machine ->
        val done = machine.endMillisByRun.filterValues { it <= nowMillis }.keys
        done.forEach { machine.ended += NumberedEnd(++machine.endCount, RunEnd(it, EndKind.DONE, "")) }
        machine.endMillisByRun -= done
    }

    /** Carries out [order] on the machine at its address. */
    fun carryOut(order: WorkerOrder, nowMillis: Long): OrderAnswer {
        val machine = machines.first { it.ref.address == order.worker.address }
        return when {
            nowMillis < machine.upMillis -> OrderAnswer.Unknown("connection refused")
            machine.ref.id != order.worker.id -> OrderAnswer.OtherIncarnation
            order is WorkerOrder.Start -> machine.start(order, nowMillis)
            order is WorkerOrder.Stop -> machine.stop(order.run, nowMillis)
            order is WorkerOrder.Poll -> machine.list(order, nowMillis)
            else -> error("unknown order $order")
        }
    }

    private fun Machine.clockMillis(nowMillis: Long) = nowMillis - upSinceMillis + 1

    private fun Machine.start(order: WorkerOrder.Start, nowMillis: Long): OrderAnswer {
        starts += order.run to endMillisByRun.keys.toSet()
        endMillisByRun[order.run] = nowMillis + WORK_MILLIS
        if (!crashes(order.run.task)) return OrderAnswer.Done(clockMillis(nowMillis))
        endMillisByRun.clear()
        ended.clear()
        endCount = 0
        upMillis = nowMillis + DOWN_MILLIS
        upSinceMillis = upMillis
        ref = if (keepsIds) ref.copy(startMillis = upMillis) else ref.copy(id = "${ref.id}+")
        return OrderAnswer.Unknown("connection closed")
    }

    private fun Machine.stop(run: TaskRun, nowMillis: Long): OrderAnswer {
        if (endMillisByRun.remove(run) != null) ended += NumberedEnd(++endCount, RunEnd(run, EndKind.STOPPED, ""))
        return OrderAnswer.Done(clockMillis(nowMillis))
    }

    private fun Machine.list(order: WorkerOrder.Poll, nowMillis: Long): OrderAnswer {
        ended.removeAll { it.number <= order.acknowledgedEnd }
        val active = endMillisByRun.map { (run, endMillis) ->
            ActiveRun(run, "", percent = (PERCENT - (endMillis - nowMillis) * PERCENT / WORK_MILLIS).toInt())
        }
        return OrderAnswer.Listed(clockMillis(nowMillis), ref.startMillis, active, ended.toList())
    }

    companion object {
        const val WORK_MILLIS = 4_000L

        /** Time for which a crashed worker is away on the operators' platform. */
        const val DOWN_MILLIS = 3_200L
        private const val PERCENT = 100L
    }
}
