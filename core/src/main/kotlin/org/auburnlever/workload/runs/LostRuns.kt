package org.auburnlever.workload.runs

import org.auburnlever.workload.state.CrashTiming
import org.auburnlever.workload.state.TaskRun
import org.auburnlever.workload.state.WorkerRef

/** Records runs as lost whose worker's lease has expired or whose worker has ended. */
internal fun LeaderState.recordLostRuns(nowMillis: Long) {
    val onWorkers = runs.entries.groupBy({ it.value.worker }, { it.key })
    moveRunsToNewIncarnations(onWorkers, nowMillis)
    val lost = runs.mapNotNull { (run, view) ->
        val worker = workers[view.worker.id]
        val loss = worker?.lossOf(view.worker, nowMillis)
        if (loss == null) null else LostRun(run, view, loss, crashTiming(run, view, loss, onWorkers, nowMillis))
    }
    if (lost.isEmpty()) return
    recordEnds(lost.map { it.view.copy(crash = it.crash).lostEnd(it.run) })
    lost.forEach {
        logDecision(
            "task_lost",
            it.run.toString(),
            "worker" to it.view.worker.id,
            "reason" to it.loss,
            "bornMillis" to it.view.worker.startMillis,
            "listedAgoMillis" to it.view.listedMillis?.let { listedMillis -> nowMillis - listedMillis },
            "listedForMillis" to it.view.listedForMillis,
            "leaseLeftMillis" to workers[it.view.worker.id]?.let { worker -> worker.leaseEndMillis - nowMillis },
            "crash" to it.crash,
        )
    }
}

private data class LostRun(val run: TaskRun, val view: RunView, val loss: WorkerLoss, val crash: CrashTiming?)

/**
 * Returns how the worker crashed under [run], which is lost by [loss], or null if it did not crash or the run can't
 * have caused it; [onWorkers] holds the runs on each worker before the loss.
 */
private fun LeaderState.crashTiming(
    run: TaskRun,
    view: RunView,
    loss: WorkerLoss,
    onWorkers: Map<WorkerRef, List<TaskRun>>,
    nowMillis: Long,
): CrashTiming? {
    val worker = workers[view.worker.id]
    // A worker that is only cut off neither answers nor refuses connections.
    val mayBeCutOff = loss == WorkerLoss.LEASE_EXPIRED && worker?.refusesConnections == false
    val alone = onWorkers[view.worker].orEmpty().all { it.task.job == run.task.job }
    // A run that only an earlier leader may have listed is not known to have ended before the election.
    val unseen = view.adopted && view.listedMillis == null
    val workedMillis = if (unseen) electedMillis - view.startedMillis else view.listedForMillis ?: 0
    return when {
        worker == null || !crashed(worker, loss, nowMillis) -> null
        workedMillis >= HARMLESS_AFTER_MILLIS -> if (unseen) CrashTiming.LATER else null
        alone && !mayBeCutOff -> CrashTiming.ALONE
        !unseen && workedMillis < START_PHASE_MILLIS -> CrashTiming.AT_START
        else -> CrashTiming.LATER
    }
}

/** Returns whether the worker, which is lost by [loss], crashed or may have, rather than shut down. */
private fun LeaderState.crashed(worker: WorkerView, loss: WorkerLoss, nowMillis: Long): Boolean {
    val reports = nowMillis - worker.lastContactMillis <= limits.reportLimitMillis
    return when (loss) {
        WorkerLoss.RESTARTED -> !worker.predecessorLeft
        WorkerLoss.REPLACED -> worker.report?.draining != true
        WorkerLoss.LEASE_EXPIRED -> !worker.departed && worker.report?.draining != true && !reports
    }
}

/**
 * Moves runs to the new incarnation of their worker if their start may have been in flight when the worker restarted.
 *
 * The new incarnation has the same id and may carry out the start, so such a run is recorded as lost only after that
 * incarnation has listed its runs under a raised fencing token.
 */
private fun LeaderState.moveRunsToNewIncarnations(
    onWorkers: Map<WorkerRef, List<TaskRun>>,
    nowMillis: Long,
) = runs.forEach { (run, view) ->
    val worker = workers[view.worker.id]
    if (worker != null && !view.begun && worker.isOtherIncarnationThan(view.worker)) {
        val crash = crashTiming(run, view, WorkerLoss.RESTARTED, onWorkers, nowMillis)
        val moved = view.copy(worker = worker.ref, unanswered = view.startOpen, answeredMillis = nowMillis)
        put(run, moved.copy(crash = crash, stopSentMillis = null, stopAnsweredMillis = null))
        put(worker.copy(leaseEndMillis = maxOf(worker.leaseEndMillis, nowMillis + limits.longestLeaseSafeMillis)))
        logDecision("run_may_begin_in_later_life", run.toString(), "worker" to worker.ref.id)
    }
}

/** Longer than a worker takes to begin a run and to list it. */
private const val START_PHASE_MILLIS = 1_000L

/** A task that has worked for this long is not suspected of a later crash. */
private const val HARMLESS_AFTER_MILLIS = 10_000L
