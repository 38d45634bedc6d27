package org.auburnlever.workload.interference

import org.auburnlever.workload.CoordinatorHarness
import org.auburnlever.workload.SchedulingFeature
import org.auburnlever.workload.report
import org.auburnlever.workload.runs.ActiveRun
import org.auburnlever.workload.runs.OrderAnswer
import org.auburnlever.workload.runs.WorkerOrder
import org.auburnlever.workload.state.TaskId
import org.auburnlever.workload.state.TaskRun
import org.auburnlever.workload.step
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

private const val SERVING = "00000000000000a1"
private const val SPARE = "00000000000000b1"

/** Plays one worker with a serving task that is over its target while a task on spare cores works beside it. */
internal abstract class OneWorkerPlay(features: Set<SchedulingFeature>) : CoordinatorHarness(features) {
    protected val serving = TaskRun(TaskId(SERVING, 0, 0, 0), 1)
    protected val spare = TaskRun(TaskId(SPARE, 0, 0, 0), 1)
    protected var percent = 100
    protected var overMillis = 0L
    protected val paces = ArrayList<Int>()
    private var sequence = 0L
    private val sentMillis = HashMap<WorkerOrder, Long>()

    protected fun submit() {
        val lasting = step(tasks = 1).copy(longRunning = true)
        report()
        workload.submit("routine", SERVING, lasting.copy(image = "web", targetMillis = 200, missAllowed = 1))
        workload.submit("routine", SPARE, lasting.copy(image = "crunch", usesSpareCores = true, missAllowed = 1))
    }

    private fun report() = deliver(report("1", sequence = ++sequence))

    private fun list() = listed(
        active = listOf(
            ActiveRun(serving, "", percent = 100, figure = 100L + 2 * percent),
            ActiveRun(spare, "", percent = 100, figure = 10L * percent),
        ),
    )

    /** Answers starts and paces at once and polls after their wait. */
    protected fun play(millis: Long) = repeat((millis / 100).toInt()) {
        tick()
        if (workload.nowMillis % 1_500 == 0L) report()
        overMillis = if (percent >= 50) overMillis + 100 else 0
        for (order in orders.toList()) {
            val since = sentMillis.getOrPut(order) { workload.nowMillis }
            if (order is WorkerOrder.Poll && workload.nowMillis - since < order.waitMillis) continue
            orders -= order
            sentMillis -= order
            when (order) {
                is WorkerOrder.Poll -> answer(order, list(), sentAgoMillis = workload.nowMillis - since)
                is WorkerOrder.Pace -> {
                    if (order.run == spare) percent = order.percent
                    paces += order.percent
                    answer(order, OrderAnswer.Done(clockMillis = 100_100))
                }
                is WorkerOrder.Start, is WorkerOrder.Stop -> answer(order, OrderAnswer.Done(clockMillis = 100_100))
            }
        }
    }
}

internal class InterferenceControlTest : OneWorkerPlay(setOf(SchedulingFeature.INTERFERENCE)) {
    /** Guards against a serving task that is over its target for longer than permitted because of its neighbour. */
    @Test
    fun `a neighbour of a task over its target is paced within the permitted time`() {
        submit()
        var longestMillis = 0L
        repeat(30) {
            play(1_000)
            longestMillis = maxOf(longestMillis, overMillis)
        }

        // The first 1.5 s of the serving task do not count as over its target.
        assertTrue(longestMillis <= limits.interferenceMillis, "over for $longestMillis ms")
        assertTrue(percent < 50)
        assertTrue(paces.all { it < 100 })
        assertTrue(paces.size <= 20, "$paces")
        assertTrue(logEntries.any { it.event == "task_paced" })
    }

    /** Guards against a new leader that takes the run for one at full pace, or for one that stays paced by itself. */
    @Test
    fun `a new leader learns what to order from the figures`() {
        submit()
        play(8_000)
        electLeader()
        orders.clear()
        percent = 100
        overMillis = 0
        paces.clear()
        play(4_000)

        assertTrue(overMillis == 0L && paces.isNotEmpty(), "over for $overMillis ms, $paces")
    }

    /** Guards against a run that is stopped, and loses its place, although its worker takes paces. */
    @Test
    fun `a run that can be paced is not moved`() {
        submit()
        play(20_000)

        assertEquals(emptyList(), logEntries.filter { it.event == "move_withheld" || it.event == "task_moved" })
    }
}

internal class InterferenceOffTest : OneWorkerPlay(emptySet()) {
    /** Guards against a change of behaviour in deployments whose settings do not ask for the feature. */
    @Test
    fun `without the feature nothing is paced`() {
        submit()
        play(10_000)

        assertEquals(emptyList(), paces)
        assertEquals(emptyList(), logEntries.filter { "pace" in it.event || "interference" in it.event })
    }
}
