package org.auburnlever.workload

/**
 * Gives no new work to workers on which a run stands still, and starts urgent runs elsewhere.
 *
 * Answers workers that accept tasks, look healthy and make no progress. Work with time to spare is left where it is,
 * since such a worker often goes on by itself and a stop would throw the progress away.
 */
internal fun LeaderState.handleStalledRuns(state: WorkloadState, nowMillis: Long) {
    val stalled = runs.filter { (run, view) -> view.stalled(nowMillis) && state.makesProgress(run) }
    stalled.values.map { it.worker.id }.toSet().mapNotNull { workers[it] }
        .filter { nowMillis >= it.suspendedUntilMillis }
        .forEach { view ->
            logDecision("worker_stalled", view.ref.id, "forMillis" to STALL_MILLIS)
            put(view.copy(suspendedUntilMillis = nowMillis + AVOID_MILLIS))
        }
    stalled.filterKeys { state.jobs[it.task.job]?.policy?.priority == URGENT }.forEach { (run, view) ->
        logDecision("task_stalled", run.toString(), "worker" to view.worker.id, "percent" to view.percent)
        stop(run, view, nowMillis)
    }
}

private fun RunView.stalled(nowMillis: Long): Boolean =
    answeredMillis != null && stopSentMillis == null && missingSinceMillis == null &&
        progressMillis > 0 && nowMillis - progressMillis >= STALL_MILLIS

/** Progress of a task that lasts is always complete. */
private fun WorkloadState.makesProgress(run: TaskRun): Boolean =
    jobs[run.task.job]?.spec?.steps?.getOrNull(run.task.step)?.longRunning == false

/** More than two looks apart, so a working task has shown progress in between even at a sixth of its speed. */
private const val STALL_MILLIS = 3_500L

/** How long a worker is avoided after it was seen to stand still; renewed while it does. */
private const val AVOID_MILLIS = 2_000L
