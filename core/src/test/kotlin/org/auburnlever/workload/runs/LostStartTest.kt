package org.auburnlever.workload.runs

import org.auburnlever.workload.CoordinatorHarness
import org.auburnlever.workload.WorkloadLimits
import org.auburnlever.workload.report
import org.auburnlever.workload.state.TaskRun
import org.auburnlever.workload.step
import kotlin.test.Test
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/** Loses the start of a task on a worker that runs other work, whose polls wait for an end. */
internal class LostStartTest : CoordinatorHarness(limits = WorkloadLimits(stopMillis = 200, reclaimMillis = 2_700)) {
    private class Sent(val order: WorkerOrder, val sentMillis: Long, val dueMillis: Long)

    private val sent = ArrayList<Sent>()
    private val active = LinkedHashSet<TaskRun>()
    private var lost: TaskRun? = null

    private fun isLost(order: WorkerOrder) = order is WorkerOrder.Start && order.run == lost

    /** Advances the time, answers what is due, and sends the new orders to the worker. */
    private fun advance() {
        tick(afterMillis = TICK_MILLIS)
        val due = sent.filter { it.dueMillis <= workload.nowMillis }
        sent -= due.toSet()
        due.forEach { answer(it.order, answerTo(it.order), sentAgoMillis = workload.nowMillis - it.sentMillis) }
        if (lost == null) lost = orders.firstNotNullOfOrNull { order -> urgentRun(order) }
        sent += orders.map { Sent(it, workload.nowMillis, workload.nowMillis + answerMillis(it)) }
        orders.clear()
    }

    private fun urgentRun(order: WorkerOrder) = (order as? WorkerOrder.Start)?.run?.takeIf { it.task.job == URGENT_JOB }

    private fun answerMillis(order: WorkerOrder): Long = when {
        order is WorkerOrder.Poll -> order.waitMillis + TRAVEL_MILLIS
        isLost(order) -> TIMEOUT_MILLIS
        else -> TRAVEL_MILLIS
    }

    private fun percent() = (workload.nowMillis / 100 % 100).toInt()

    private fun answerTo(order: WorkerOrder): OrderAnswer = when (order) {
        is WorkerOrder.Poll -> listed(active.map { ActiveRun(it, "", percent()) })
        is WorkerOrder.Start -> if (isLost(order)) {
            OrderAnswer.Unknown("no answer")
        } else {
            active += order.run
            OrderAnswer.Done(clockMillis = 100_100)
        }
        is WorkerOrder.Stop, is WorkerOrder.Pace -> OrderAnswer.Done(clockMillis = 100_100)
    }

    /** Returns the time from the acceptance of an urgent job, whose first start is lost, until its task has begun. */
    private fun beginMillis(delayMillis: Long): Long {
        deliver(report("1"))
        workload.submit("routine", JOB, step(tasks = 1).copy(estimatedMillis = 60_000))
        repeat((2_000 + delayMillis).toInt() / TICK_MILLIS.toInt()) { advance() }
        deliver(report("1", sequence = 2))
        val acceptedMillis = workload.nowMillis
        workload.submit("urgent", URGENT_JOB, step(tasks = 1))
        coordinator.onChange(workload.nowMillis)
        while (active.none { it.task.job == URGENT_JOB } && workload.nowMillis - acceptedMillis < 10_000) advance()
        assertNotNull(lost)
        return workload.nowMillis - acceptedMillis
    }

    /** Guards against a guarantee that is missed because polls wait while it is open whether a run has begun. */
    @Test
    fun `an urgent task whose start is lost begins again within its guarantee`() {
        val begins = (0L until 1_600L step 100).associateWith { LostStartTest().beginMillis(it) }
        assertTrue(begins.values.all { it <= limits.reclaimMillis }, "time until the begin by delay: $begins")
    }

    private companion object {
        const val URGENT_JOB = "00000000000000b1"
        const val TICK_MILLIS = 25L
        const val TRAVEL_MILLIS = 20L

        /** Time after which an order without an answer is given up. */
        const val TIMEOUT_MILLIS = 1_000L
    }
}
