package org.auburnlever.workload.runs

import org.auburnlever.workload.state.EndKind
import org.auburnlever.workload.state.RunEnd
import org.auburnlever.workload.state.TaskRun

/**
 * Records runs as lost that the answer to [order] does not list although their start was answered or given up before.
 *
 * Such a run can't begin any more if [order] has a higher token than its start. While a run is being stopped it is not
 * listed, but uses resources until its end is listed, so a run that may have begun is recorded as lost only after the
 * time that a stop takes.
 */
internal fun LeaderState.handleMissingRuns(
    order: WorkerOrder.Poll,
    listed: OrderAnswer.Listed,
    sentMillis: Long,
    nowMillis: Long,
) {
    val ref = order.worker
    val listedRuns = listed.active.map { it.run }.toSet() + listed.ended.map { it.end.run }
    val missing = runs.filter { (run, view) ->
        val answeredMillis = view.answeredMillis ?: (view.startedMillis + LOST_ANSWER_MILLIS)
        view.worker.id == ref.id && view.worker.startMillis == ref.startMillis && run !in listedRuns &&
            answeredMillis < sentMillis
    }
    missing.forEach { (run, view) ->
        val fenced = order.fencingToken > view.startToken
        val stopOver = view.missingSinceMillis.let { it != null && it + limits.stopSafeMillis < sentMillis }
        if (fenced && (stopOver || !view.mayBeStopping)) {
            recordEnds(listOf(view.lostEnd(run)))
            logDecision(
                "task_lost",
                run.toString(),
                "worker" to ref.id,
                "reason" to "not listed",
                "bornMillis" to ref.startMillis,
                "fencingToken" to order.fencingToken,
                "startToken" to view.startToken,
            )
        } else {
            put(run, view.copy(missingSinceMillis = view.missingSinceMillis ?: nowMillis))
            if (fencingToken(ref.id) == view.startToken) {
                raiseFence(ref.id, FenceReason.RUN_NOT_LISTED, "run" to run)
            }
        }
    }
}

/** Returns the end of [run] as lost. */
internal fun RunView.lostEnd(run: TaskRun) = RunEnd(run, EndKind.LOST, checkpoint, crash, unseen, startOpen)
