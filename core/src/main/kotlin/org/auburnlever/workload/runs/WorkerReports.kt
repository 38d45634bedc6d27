package org.auburnlever.workload.runs

import org.auburnlever.workload.holds.HoldRule
import org.auburnlever.workload.state.EndKind
import org.auburnlever.workload.state.RunEnd
import org.auburnlever.workload.state.TaskRun
import org.auburnlever.workload.state.WorkloadState

/** Stores a worker's report unless a newer one is known. */
internal fun LeaderState.handleReport(report: WorkerReport, nowMillis: Long) {
    val known = workers[report.ref.id]
    if (known != null && known.isNewerThan(report)) return
    val newIncarnation = known == null || known.ref.startMillis != report.ref.startMillis
    val base = if (known == null || newIncarnation) freshView(report.ref) else known
    val wasDraining = known?.report?.draining ?: false
    put(
        base.copy(
            ref = report.ref,
            report = report,
            lastContactMillis = nowMillis,
            departureMillis = null,
            replaced = false,
            refusesConnections = base.refusesConnections && base.ref.address == report.ref.address,
        ).withClock(report.clockMillis, nowMillis),
    )
    if (newIncarnation || report.draining != wasDraining) logReport(report, known, newIncarnation)
}

/**
 * Records that the worker [workerId] announced its shutdown.
 *
 * The announcement names no incarnation, and one that was held up may arrive after the worker has started again. A
 * worker reports that it drains before it leaves, so an announcement of a worker that is not known to drain is ignored;
 * if it was true, the worker's lease expires.
 */
internal fun LeaderState.handleLeave(workerId: String, nowMillis: Long) {
    val known = workers[workerId] ?: return
    if (known.report?.draining != true) {
        logDecision("departure_ignored", workerId, "bornMillis" to known.ref.startMillis)
        return
    }
    put(known.copy(departureMillis = nowMillis))
    logDecision("worker_left", workerId)
}

/**
 * Updates from [answer] to [order] whether its worker can be reached, and what its clock shows.
 *
 * Who answers or refuses connections at a former address of the worker says nothing about it.
 */
internal fun LeaderState.updateReachability(
    order: WorkerOrder,
    answer: OrderAnswer,
    sentMillis: Long,
    nowMillis: Long,
) {
    val ref = order.worker
    val known = viewOf(ref)?.takeIf { it.ref.address == ref.address } ?: return
    val updated = when (answer) {
        is OrderAnswer.Done -> known.withContact(answer.clockMillis, nowMillis)
        is OrderAnswer.Listed -> known.withContact(answer.clockMillis, nowMillis)
        is OrderAnswer.Refused ->
            known.copy(lastContactMillis = nowMillis, failedCalls = 0, refusesConnections = false)
        OrderAnswer.OtherIncarnation -> known.copy(replaced = true, failedCalls = known.failedCalls + 1)
        is OrderAnswer.Unknown ->
            known.copy(failedCalls = known.failedCalls + 1, refusesConnections = answer.connectionRefused)
    }
    if (known.failedCalls == 0 && updated.failedCalls > 0) {
        logDecision("worker_unreachable", ref.id, "error" to "$answer", "order" to order.kind)
    }
    if (updated.replaced && !known.replaced) {
        logDecision(
            "worker_replaced",
            ref.id,
            "address" to ref.address,
            "failedCalls" to updated.failedCalls,
            "order" to order.kind,
            "sentAgoMillis" to nowMillis - sentMillis,
        )
    }
    if (known.failedCalls > 0 && updated.failedCalls == 0) logDecision("worker_reachable", ref.id)
    put(updated)
}

/**
 * Counts failed jobs and suspends a worker on which two jobs failed without a success in between.
 *
 * Failures of one job alone may be the job's own fault, as are those of long-running tasks that were at work before:
 * they never succeed, and would suspend a sound worker for longer each time.
 */
internal fun LeaderState.countFailures(
    state: WorkloadState,
    view: WorkerView,
    ends: List<RunEnd>,
    nowMillis: Long,
): WorkerView {
    val succeeded = ends.any { it.kind == EndKind.DONE }
    val failed = ends.filter { it.kind == EndKind.FAILED && !wasAtWork(state, it.run, nowMillis) }
        .map { it.run.task.job }.toSet()
    val jobs = if (succeeded) failed else view.failedJobs + failed
    val counted = view.copy(failedJobs = jobs, suspensions = if (succeeded) 0 else view.suspensions)
    val suspend = !succeeded && failed.isNotEmpty() && jobs.size >= SUSPENDING_FAILURES
    return if (suspend) suspended(counted, nowMillis) else counted
}

/** Returns whether [run] of a long-running task has worked for so long that its worker is not the cause of its end. */
private fun LeaderState.wasAtWork(state: WorkloadState, run: TaskRun, nowMillis: Long): Boolean {
    val step = state.jobs[run.task.job]?.spec?.steps?.getOrNull(run.task.step)
    val startedMillis = runs[run]?.startedMillis ?: nowMillis
    return step?.longRunning == true && nowMillis - startedMillis >= AT_WORK_MILLIS
}

/** Suspends the worker from new work; each suspension in a row lasts twice as long, up to a limit. */
internal fun LeaderState.suspended(view: WorkerView, nowMillis: Long): WorkerView {
    val durationMillis = SUSPENSION_MILLIS shl minOf(view.suspensions, MAX_DOUBLINGS)
    val untilMillis = nowMillis + minOf(durationMillis, HoldRule.SUSPENDED_WORKER.limitMillis)
    logDecision("worker_suspended", view.ref.id, "failedJobs" to view.failedJobs, "untilMillis" to untilMillis)
    return view.copy(suspendedUntilMillis = untilMillis, suspensions = view.suspensions + 1)
}

/** Logs what [report] changes and what was [known] before, so that a restart can be told from a false report. */
private fun LeaderState.logReport(report: WorkerReport, known: WorkerView?, newIncarnation: Boolean) = logDecision(
    if (newIncarnation) "worker_joined" else "worker_state",
    report.ref.id,
    "address" to report.ref.address,
    "bornMillis" to report.ref.startMillis,
    "draining" to report.draining,
    "sequence" to report.sequence,
    "sender" to report.sender,
    "knownAddress" to known?.ref?.address,
    "knownBornMillis" to known?.ref?.startMillis,
    "knownSequence" to known?.report?.sequence,
    "runs" to known?.let { view -> runs.values.count { it.worker == view.ref } },
)

private fun WorkerView.isNewerThan(report: WorkerReport): Boolean {
    // The incarnation may be known from an answer to an order before its first report.
    val newestSequence = this.report?.sequence ?: Long.MIN_VALUE
    return ref.startMillis > report.ref.startMillis ||
        ref.startMillis == report.ref.startMillis && newestSequence >= report.sequence
}

private fun WorkerView.withClock(shownMillis: Long, nowMillis: Long): WorkerView =
    if (clockReadMillis == 0L || shownMillis > clockNowMillis(nowMillis)) {
        copy(clockMillis = shownMillis, clockReadMillis = nowMillis)
    } else {
        this
    }

private fun WorkerView.withContact(shownMillis: Long, nowMillis: Long): WorkerView =
    copy(lastContactMillis = maxOf(lastContactMillis, nowMillis), failedCalls = 0, refusesConnections = false)
        .withClock(shownMillis, nowMillis)

private const val SUSPENDING_FAILURES = 2

/** A worker that fails what it starts does so in less time. */
private const val AT_WORK_MILLIS = 10_000L

/** Length of the first suspension: that of a typical disturbance of a worker. */
private const val SUSPENSION_MILLIS = 5_000L
private const val MAX_DOUBLINGS = 3
