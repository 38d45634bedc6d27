package org.auburnlever.workload.runs

import org.auburnlever.workload.holds.HoldRule
import org.auburnlever.workload.planning.URGENT
import org.auburnlever.workload.state.TaskRun
import org.auburnlever.workload.state.WorkloadState

/**
 * Suspends workers on which a run makes no progress, and stops urgent runs there so that they start elsewhere.
 *
 * This handles workers that accept tasks and look healthy but do no work. Runs that are not urgent stay where they are,
 * since such a worker often recovers by itself and a stop would discard the progress. The [protectedRuns] are not
 * stopped.
 */
internal fun LeaderState.handleStalledRuns(
    state: WorkloadState,
    nowMillis: Long,
    protectedRuns: Set<TaskRun> = emptySet(),
) {
    val stalled = runs.filter { (run, view) -> state.stallMillis(run)?.let { view.stalled(it, nowMillis) } == true }
    val lately = stalled.filter { (run, view) ->
        val stalledForMillis = nowMillis - view.progressMillis - (state.stallMillis(run) ?: 0)
        stalledForMillis < HoldRule.STALLED_WORKER.limitMillis
    }
    val runByWorker = lately.entries.associate { (run, view) -> view.worker.id to run }
    runByWorker.mapNotNull { (id, run) -> workers[id]?.let { it to run } }
        .filter { (view, _) -> nowMillis >= view.stalledUntilMillis }
        .forEach { (view, run) ->
            val untilMillis = nowMillis + AVOID_MILLIS
            logDecision("worker_stalled", view.ref.id, "run" to run, "untilMillis" to untilMillis)
            put(view.copy(stalledUntilMillis = untilMillis, stalledRun = run))
        }
    val urgent = stalled.filterKeys { it !in protectedRuns && state.jobs[it.task.job]?.policy?.priority == URGENT }
    urgent.forEach { (run, view) ->
        logDecision("task_stalled", run.toString(), "worker" to view.worker.id, "percent" to view.percent)
        stop(run, view, StopReason.Stalled, nowMillis)
    }
}

private fun RunView.stalled(stallMillis: Long, nowMillis: Long): Boolean =
    answeredMillis != null && stopSentMillis == null && missingSinceMillis == null &&
        progressMillis > 0 && nowMillis - progressMillis >= stallMillis

/**
 * Returns the time without progress after which [run] counts as stalled; null for a long-running task, which always
 * reports 100 percent.
 *
 * The percentage of a long task rises by less than one between two polls.
 */
private fun WorkloadState.stallMillis(run: TaskRun): Long? =
    jobs[run.task.job]?.spec?.steps?.getOrNull(run.task.step)?.takeIf { !it.longRunning }
        ?.let { maxOf(MIN_STALL_MILLIS, it.estimatedMillis * SLOWEST_FACTOR / PERCENT) }

/** Longer than two polls. */
private const val MIN_STALL_MILLIS = 3_500L

/** A task counts as stalled if it is slower than that. */
private const val SLOWEST_FACTOR = 6
private const val PERCENT = 100

/** Time for which a worker with a stalled run is left out; renewed while the run makes no progress, up to a limit. */
private const val AVOID_MILLIS = 2_000L
