package org.auburnlever.workload.interference

import org.auburnlever.workload.runs.RunView
import org.auburnlever.workload.runs.WorkerOrder
import org.auburnlever.workload.state.StepSpec
import org.auburnlever.workload.state.TaskRun
import org.auburnlever.workload.state.WorkloadState

/**
 * A poll that was sent at [sentMillis] and answered at [nowMillis].
 *
 * @property before the runs before the answer, for their progress since then
 */
internal class PollRound(
    private val order: WorkerOrder.Poll,
    private val before: Map<TaskRun, RunView>,
    private val sentMillis: Long,
    val nowMillis: Long,
) {
    private class Listed(val run: TaskRun, val view: RunView, val step: StepSpec)

    /** Returns what the answer, which is contained in [runs], shows of the worker. */
    fun reading(state: WorkloadState, runs: Map<TaskRun, RunView>): WorkerReading {
        val present = runs.filterValues { it.worker == order.worker && it.stopSentMillis == null }
            .mapNotNull { (run, view) -> state.stepOf(run)?.let { Listed(run, view, it) } }
        val listed = present.filter { it.view.listedMillis == nowMillis }
        val serving = listed.mapNotNull { it.serving() }
        val delayed = nowMillis - sentMillis > order.waitMillis + DELAYED_MILLIS
        return WorkerReading(
            worker = order.worker,
            serving = serving,
            spare = listed.filter { it.step.usesSpareCores }.map { it.spare() },
            others = listed.mapNotNull { it.working() },
            measuredMillis = if (delayed) sentMillis else maxOf(sentMillis, nowMillis - TRANSIT_MILLIS),
            delayed = delayed,
            unread = serving.size < present.count { it.isServing() },
        )
    }

    private fun Listed.isServing() = step.targetMillis > 0 && !step.usesSpareCores

    private fun Listed.serving(): ServingTask? = view.figure?.takeIf { isServing() }
        ?.let { ServingTask(run, step.image, step.targetMillis, it, ageMillis = nowMillis - view.startedMillis) }

    private fun Listed.spare() = SpareCoreTask(run, step.image, step.need.milliCores, view.figure, view.adopted)

    private fun Listed.working(): WorkingTask? {
        val makesProgress = !step.longRunning && !step.usesSpareCores && step.targetMillis == 0L
        val perMinute = if (makesProgress) progressPerMinute(before[run], view) else null
        return perMinute?.let { WorkingTask(run, step.image, it, ageMillis = nowMillis - view.startedMillis) }
    }

    /** Returns the progress between two lists, or null if they are too close or too far apart to tell. */
    private fun progressPerMinute(earlier: RunView?, later: RunView): Int? {
        val elapsedMillis = earlier?.listedMillis?.let { nowMillis - it } ?: 0
        val progress = later.percent - (earlier?.percent ?: 0)
        val usable = elapsedMillis in MIN_PROGRESS_MILLIS..MAX_PROGRESS_MILLIS && progress >= 0
        return if (usable) (progress * MINUTE_MILLIS / elapsedMillis).toInt() else null
    }

    private companion object {
        /** An answer later than this after the poll's wait has crossed a degraded link or comes from a busy host. */
        const val DELAYED_MILLIS = 400L

        /** Longest time that an answer on a healthy link takes, with 20 ms between regions and a busy receiver. */
        const val TRANSIT_MILLIS = 150L
        const val MIN_PROGRESS_MILLIS = 400L
        const val MAX_PROGRESS_MILLIS = 4_000L
        const val MINUTE_MILLIS = 60_000L
    }
}
