package org.auburnlever.workload.runs

import org.auburnlever.workload.state.EndKind
import org.auburnlever.workload.state.RunEnd
import org.auburnlever.workload.state.TaskRun
import org.auburnlever.workload.state.WorkloadState

/**
 * Orders the start of [run], whose assignment has been recorded, unless the task has changed since.
 *
 * The lease counts from [confirmedMillis], when a majority last confirmed the leadership.
 */
internal fun LeaderState.start(state: WorkloadState, run: TaskRun, confirmedMillis: Long, nowMillis: Long) {
    val job = state.jobs[run.task.job]
    val task = job?.task(run.task)
    val ref = task?.worker?.takeIf { task.run == run.run && run !in proposedEnds }
    if (job == null || task == null || ref == null) return
    val view = workers[ref.id] ?: freshView(ref, nowMillis)
    val token = fencingToken(ref.id)
    put(
        run,
        RunView(
            ref,
            answeredMillis = null,
            startToken = token,
            progressMillis = nowMillis,
            startedMillis = nowMillis,
        ),
    )
    // The worker grants its longest lease if the deadline was computed without its clock.
    val leaseMillis = if (view.clock.isKnown) limits.leaseSafeMillis else limits.longestLeaseSafeMillis
    put(view.copy(leaseEndMillis = maxOf(view.leaseEndMillis, nowMillis + leaseMillis)))
    val deadlineMillis = view.clock.nowMillis(nowMillis) + limits.leaseMillis - (nowMillis - confirmedMillis)
    order(WorkerOrder.Start(ref, token, run, job.spec.payload, task.checkpoint, deadlineMillis))
    logDecision(
        "task_started",
        run.toString(),
        "worker" to ref.id,
        "queue" to job.queue,
        "checkpoint" to task.checkpoint,
        "crashSuspicion" to task.crashSuspicion,
    )
}

/**
 * Handles the answer to a start that was sent at [sentMillis]; after a refusal the run never begins.
 *
 * [clock] is what was known of the worker's clock before the answer.
 */
internal fun LeaderState.handleStartAnswer(
    order: WorkerOrder.Start,
    answer: OrderAnswer,
    clock: WorkerClock?,
    sentMillis: Long,
    nowMillis: Long,
) {
    val view = runs[order.run] ?: return
    val sameIncarnation = clock != null && viewOf(order.worker) != null
    val begun = view.begun || answer is OrderAnswer.Done && sameIncarnation && clock.permits(answer, sentMillis)
    val unanswered = answer is OrderAnswer.Unknown && !answer.notSent
    put(order.run, view.copy(answeredMillis = nowMillis, begun = begun, unanswered = unanswered))
    if (answer is OrderAnswer.Refused) {
        logDecision(
            "start_refused",
            order.run.toString(),
            "worker" to order.worker.id,
            "bornMillis" to order.worker.startMillis,
            "reason" to answer.reason,
            "fencingToken" to order.fencingToken,
            "currentToken" to fencingToken(order.worker.id),
        )
        if (answer.reason == RefusalReason.UNHEALTHY) {
            workers[order.worker.id]?.let { put(suspended(it, nowMillis)) }
        }
    }
    // A list may have shown the run before, and a list is the stronger evidence.
    if (answer.excludesStart() && !begun) {
        recordEnds(listOf(RunEnd(order.run, EndKind.LOST, checkpoint = "", unseen = true)))
        logDecision("task_lost", order.run.toString(), "worker" to order.worker.id, "reason" to "not started")
    }
}

/** Returns whether a run whose start got this answer never begins. */
private fun OrderAnswer.excludesStart(): Boolean = when (this) {
    // A refusal as fenced does not tell whether a later leader has started the run.
    is OrderAnswer.Refused -> reason != RefusalReason.FENCED
    is OrderAnswer.Unknown -> notSent
    OrderAnswer.OtherIncarnation -> true
    is OrderAnswer.Done, is OrderAnswer.Listed -> false
}

/**
 * Returns whether [answer] to an order that was sent at [sentMillis] may come from the incarnation with this clock.
 *
 * A later incarnation at the same address answers too and does not identify itself, but its clock has restarted.
 */
private fun WorkerClock.permits(answer: OrderAnswer.Done, sentMillis: Long): Boolean =
    isKnown && answer.clockMillis >= nowMillis(sentMillis)

/**
 * Orders [run] to stop for [reason], unless an order was sent less than [STOP_REPEAT_MILLIS] ago.
 *
 * The reason of the first order stays that of the later ones, which only repeat it.
 */
internal fun LeaderState.stop(run: TaskRun, view: RunView, reason: StopReason, nowMillis: Long) {
    val due = view.stopSentMillis.let { it == null || nowMillis - it >= STOP_REPEAT_MILLIS }
    if (!due) return
    val current = runs[run] ?: view
    val sinceMillis = current.stoppingSinceMillis ?: nowMillis
    val firstReason = current.stopReason ?: reason
    put(run, current.copy(stopSentMillis = nowMillis, stoppingSinceMillis = sinceMillis, stopReason = firstReason))
    order(WorkerOrder.Stop(view.worker, fencingToken(view.worker.id), run))
    logDecision(
        "task_stopping",
        run.toString(),
        "worker" to view.worker.id,
        "stoppingForMillis" to nowMillis - sinceMillis,
        more = firstReason.logFields,
    )
}

/** Handles the answer to a stop. */
internal fun LeaderState.handleStopAnswer(order: WorkerOrder.Stop, answer: OrderAnswer, nowMillis: Long) {
    // An outdated run has ended or was stopped before, so it can't begin any more either.
    val certain = answer is OrderAnswer.Done || answer == OrderAnswer.Refused(RefusalReason.OUTDATED)
    val view = runs[order.run] ?: return
    // The confirmation of an earlier incarnation says nothing about a later one.
    val counts = certain && order.worker.startMillis == view.worker.startMillis
    if (counts) put(order.run, view.copy(stopAnsweredMillis = view.stopAnsweredMillis ?: nowMillis))
}

/** Interval at which an unconfirmed stop is repeated; longer than the 900 ms that a worker takes. */
internal const val STOP_REPEAT_MILLIS = 1_000L
