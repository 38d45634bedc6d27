package org.auburnlever.workload.runs

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
    val stalled = runs.filter { (run, view) -> view.stalled(nowMillis) && state.makesProgress(run) }
    val runByWorker = stalled.entries.associate { (run, view) -> view.worker.id to run }
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
        stop(run, view, nowMillis)
    }
}

private fun RunView.stalled(nowMillis: Long): Boolean =
    answeredMillis != null && stopSentMillis == null && missingSinceMillis == null &&
        progressMillis > 0 && nowMillis - progressMillis >= STALL_MILLIS

/** Returns whether [run] reports progress; a long-running task always reports 100 percent. */
private fun WorkloadState.makesProgress(run: TaskRun): Boolean =
    jobs[run.task.job]?.spec?.steps?.getOrNull(run.task.step)?.longRunning == false

/** Longer than two polls, between which a task shows progress even at a sixth of its speed. */
private const val STALL_MILLIS = 3_500L

/** Suspension of a worker with a stalled run; renewed while the run makes no progress. */
private const val AVOID_MILLIS = 2_000L
