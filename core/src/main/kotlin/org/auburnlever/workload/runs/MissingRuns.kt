package org.auburnlever.workload.runs

import org.auburnlever.workload.state.EndKind
import org.auburnlever.workload.state.RunEnd
import org.auburnlever.workload.state.WorkerRef

/**
 * Stops runs that a poll did not list although their start was answered before it, and then records them as lost.
 *
 * A run whose stop is never confirmed is recorded as lost once its start can't be carried out any more.
 */
internal fun LeaderState.handleMissingRuns(
    ref: WorkerRef,
    listed: OrderAnswer.Listed,
    sentMillis: Long,
    nowMillis: Long,
) {
    val listedRuns = listed.active.map { it.run }.toSet() + listed.ended.map { it.end.run }
    val missing = runs.filter { (run, view) ->
        val answeredMillis = view.answeredMillis ?: (view.startedMillis + LOST_ANSWER_MILLIS)
        view.worker.isSameIncarnationAs(ref) && run !in listedRuns && answeredMillis < sentMillis
    }
    missing.forEach { (run, view) ->
        // While a run is being stopped it is not listed, but uses resources until its end is listed.
        val stopped = view.stopAnsweredMillis.let { it != null && it + limits.stopSafeMillis < sentMillis }
        // A start that was sent before the run was first missing has expired by then.
        val expired = view.missingSinceMillis.let { it != null && nowMillis - it >= limits.longestLeaseSafeMillis }
        if (stopped || expired) {
            recordEnds(listOf(RunEnd(run, EndKind.LOST, view.checkpoint, view.crash, view.unseen)))
            logDecision("task_lost", run.toString(), "worker" to ref.id, "reason" to "not listed", "stopped" to stopped)
        } else {
            put(run, view.copy(missingSinceMillis = view.missingSinceMillis ?: nowMillis))
            stop(run, view, StopReason.NotListed, nowMillis)
        }
    }
}

private fun WorkerRef.isSameIncarnationAs(other: WorkerRef) = id == other.id && startMillis == other.startMillis
