package org.auburnlever.workload.runs

import org.auburnlever.workload.WorkloadLimits
import org.auburnlever.workload.state.EndKind
import org.auburnlever.workload.state.RunEnd
import org.auburnlever.workload.state.TaskPhase
import org.auburnlever.workload.state.WorkerRef
import org.auburnlever.workload.state.WorkloadState

/**
 * Sends the polls that are due; they extend leases, counted from [confirmedMillis].
 *
 * The workers in [watched] answer sooner, since what they measure is needed more often, and so do those that drain, as
 * their leases are short, and those of which it is open whether a run has begun.
 */
internal fun LeaderState.pollWorkers(confirmedMillis: Long, nowMillis: Long, watched: Set<String> = emptySet()) {
    val busy = runs.values.map { it.worker.id }.toSet()
    val openWaits = openRunWaits(nowMillis)
    workers.values.filter { it.dueForPoll(it.ref.id in busy, limits, nowMillis) }.forEach { due ->
        val view = if (due.pollSentMillis == null) due else due.copy(failedPolls = due.failedPolls + 1)
        // The lease of a worker that does not list its runs is not extended, so that they can be recorded as lost when
        // it expires. Nor is that of a worker that has announced its shutdown, as nothing else may show its end; nor is
        // it while the worker's clock is unknown: too late a deadline would give it the longest lease that it grants.
        val answers = view.failedCalls == 0 && view.failedPolls == 0
        val extends = answers && !view.departed && view.clockReadMillis > 0
        val ageMillis = nowMillis - confirmedMillis
        val draining = view.report?.draining == true
        val leaseMillis = if (draining) limits.drainingLeaseMillis else limits.leaseMillis
        val deadlineMillis = view.clockNowMillis(nowMillis) + leaseMillis - ageMillis
        // A deadline never shortens a lease, and an earlier order may have given a longer one.
        val extendedMillis = if (extends) nowMillis + limits.safeMillis(leaseMillis) else 0
        put(view.copy(pollSentMillis = nowMillis, leaseEndMillis = maxOf(view.leaseEndMillis, extendedMillis)))
        val longestWaitMillis = if (draining || view.ref.id in watched) SHORT_WAIT_MILLIS else POLL_WAIT_MILLIS
        val openWaitMillis = openWaits[view.ref.id] ?: longestWaitMillis
        val poll = WorkerOrder.Poll(
            worker = view.ref,
            fencingToken = term,
            acknowledgedEnd = view.acknowledgedEnd,
            deadlineMillis = deadlineMillis.takeIf { extends },
            waitMillis = if (extends && view.ref.id in busy) minOf(longestWaitMillis, openWaitMillis) else 0,
        )
        order(poll)
    }
}

/** Busy workers are polled all the time; others once after an election, after an end, and after a failed call. */
private fun WorkerView.dueForPoll(busy: Boolean, limits: WorkloadLimits, nowMillis: Long): Boolean {
    val failing = failedCalls > 0 || failedPolls > 0
    val wanted = busy || endsInFlight > 0 || acknowledgedEnd > confirmedEnd || !polled || failing
    val reports = !departed && nowMillis - lastContactMillis <= limits.reportLimitMillis
    val present = reports || busy && !replaced
    val free = pollSentMillis.let { it == null || nowMillis - it >= LOST_ANSWER_MILLIS }
    return wanted && present && free && nowMillis >= nextPollMillis
}

/** Handles the answer to a poll that was sent at [sentMillis]. */
internal fun LeaderState.handlePollAnswer(
    state: WorkloadState,
    order: WorkerOrder.Poll,
    answer: OrderAnswer,
    sentMillis: Long,
    nowMillis: Long,
) {
    val newIncarnation = answer is OrderAnswer.Listed && detectNewIncarnation(order.worker, answer.workerStartMillis)
    val view = viewOf(order.worker) ?: return
    val delayMillis = if (answer is OrderAnswer.Listed) 0 else FAILED_POLL_DELAY_MILLIS
    val failedPolls = if (answer is OrderAnswer.Listed) 0 else view.failedPolls + 1
    put(view.copy(pollSentMillis = null, nextPollMillis = nowMillis + delayMillis, failedPolls = failedPolls))
    if (answer is OrderAnswer.Listed && !newIncarnation) {
        confirmAcknowledgedEnds(order)
        settleStarts(answer)
        recordListedEnds(state, order.worker, answer, nowMillis)
        handleActiveRuns(state, order.worker, answer, nowMillis)
        if (answer.complete) {
            handleMissingRuns(order.worker, answer, sentMillis, nowMillis)
        } else {
            logDecision("list_unreadable", order.worker.id, "readableRuns" to answer.active.size)
        }
    }
}

/**
 * Returns whether a later incarnation of the worker than [expected] has answered, and records that incarnation.
 *
 * Its lists start from scratch, so they must not be read as lists of the earlier incarnation.
 */
private fun LeaderState.detectNewIncarnation(expected: WorkerRef, workerStartMillis: Long?): Boolean {
    if (workerStartMillis == null || workerStartMillis <= expected.startMillis) return false
    val known = workers[expected.id]
    if (known == null || known.ref.startMillis < workerStartMillis) {
        put(freshView(expected.copy(startMillis = workerStartMillis)))
    }
    logDecision(
        "worker_reborn",
        expected.id,
        "bornMillis" to workerStartMillis,
        "knownBornMillis" to known?.ref?.startMillis,
        "address" to expected.address,
    )
    return true
}

private fun LeaderState.confirmAcknowledgedEnds(order: WorkerOrder.Poll) {
    val view = workers[order.worker.id] ?: return
    put(view.copy(polled = true, confirmedEnd = maxOf(view.confirmedEnd, order.acknowledgedEnd)))
}

private fun LeaderState.recordListedEnds(
    state: WorkloadState,
    worker: WorkerRef,
    listed: OrderAnswer.Listed,
    nowMillis: Long,
) {
    val view = workers[worker.id] ?: return
    val after = maxOf(view.acknowledgedEnd, view.endsInFlight)
    val fresh = listed.ended.filter { it.number > after }
    if (fresh.isEmpty()) return
    val ends = fresh.map { it.end }
    val through = fresh.maxOf { it.number }
    put(countFailures(state, view, ends, nowMillis).copy(endsInFlight = through))
    ends.forEach { end -> logDecision("task_ended", end.run.toString(), "worker" to worker.id, "how" to end.kind) }
    recordEnds(ends, worker, after, through)
}

private fun LeaderState.handleActiveRuns(
    state: WorkloadState,
    ref: WorkerRef,
    listed: OrderAnswer.Listed,
    nowMillis: Long,
) = listed.active.forEach { active ->
    val task = state.task(active.run.task)
    val wanted = task?.phase == TaskPhase.ASSIGNED && task.run == active.run.run && task.worker?.id == ref.id
    if (wanted) {
        runs[active.run]?.let { put(active.run, it.withProgress(active, nowMillis)) }
    } else {
        order(WorkerOrder.Stop(ref, term, active.run))
        logDecision("stray_stopped", active.run.toString(), "worker" to ref.id)
    }
}

private fun RunView.withProgress(active: ActiveRun, nowMillis: Long) = copy(
    answeredMillis = answeredMillis ?: nowMillis,
    begun = true,
    listedMillis = nowMillis,
    crash = null,
    percent = active.percent,
    progressMillis = if (active.percent != percent) nowMillis else progressMillis,
    checkpoint = active.checkpoint.ifEmpty { checkpoint },
    missingSinceMillis = null,
    figure = active.figure,
)

/**
 * Stops runs that a poll did not list although their start was answered before it, and then records them as lost.
 *
 * A run whose stop is never confirmed is recorded as lost once its start can't be carried out any more.
 */
private fun LeaderState.handleMissingRuns(
    ref: WorkerRef,
    listed: OrderAnswer.Listed,
    sentMillis: Long,
    nowMillis: Long,
) {
    val listedRuns = listed.active.map { it.run }.toSet() + listed.ended.map { it.end.run }
    val missing = runs.filter { (run, view) ->
        val answeredMillis = view.answeredMillis ?: (view.startedMillis + LOST_ANSWER_MILLIS)
        view.worker.id == ref.id && run !in listedRuns && answeredMillis < sentMillis
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

/** Time that a poll waits for an end; three polls fit into a lease. */
private const val POLL_WAIT_MILLIS = 1_500L

/** The same for a worker that drains or whose serving tasks have little slack; figures cover the last half second. */
private const val SHORT_WAIT_MILLIS = 500L
private const val FAILED_POLL_DELAY_MILLIS = 300L

/** Time after which no answer comes any more; the driver gives up an order in less than half of it. */
private const val LOST_ANSWER_MILLIS = 6_000L
