package org.auburnlever.workload.runs

import org.auburnlever.workload.holds.HoldRule
import org.auburnlever.workload.state.EndKind
import org.auburnlever.workload.state.RunEnd
import org.auburnlever.workload.state.TaskRun
import org.auburnlever.workload.state.WorkerRef
import org.auburnlever.workload.state.WorkloadState

/**
 * Stores a worker's report unless a newer one is known.
 *
 * A report of another incarnation or address than the known one changes nothing until the worker has answered.
 */
internal fun LeaderState.handleReport(report: WorkerReport, nowMillis: Long) {
    val known = workers[report.ref.id]
    when {
        known?.ref == report.ref -> handleNextReport(known, report, nowMillis)
        else -> awaitConfirmation(report, nowMillis)
    }
}

/** Stores [report] of the incarnation [known] unless a newer one is known. */
internal fun LeaderState.handleNextReport(known: WorkerView, report: WorkerReport, nowMillis: Long) {
    if (known.reportOrder.sequence == report.sequence) return
    val order = known.reportOrder.after(report.sequence, limits.reportMillis, nowMillis)
    if (order.sequence != report.sequence) {
        put(known.copy(reportOrder = order))
        return
    }
    if (report.sequence < (known.report?.sequence ?: report.sequence)) logReport("report_order_reset", report, known)
    put(
        known.copy(
            report = report,
            reportOrder = order,
            lastContactMillis = nowMillis,
            departureMillis = null,
            otherAnswerMillis = null,
            replaced = false,
        ),
    )
    if (report.draining != (known.report?.draining ?: false)) logReport("worker_state", report, known)
}

/**
 * Takes the worker [ref], which has [listed] its runs for an order with [token], into the fleet, or its new address.
 *
 * [report] may be missing.
 */
internal fun LeaderState.join(
    ref: WorkerRef,
    report: WorkerReport?,
    listed: OrderAnswer.Listed,
    token: Long,
    nowMillis: Long,
) {
    val known = workers[ref.id]
    if (known != null && known.ref.startMillis != ref.startMillis) raiseFenceFor(ref, known.ref)
    val base = known?.takeIf { it.ref.startMillis == ref.startMillis } ?: freshView(ref, nowMillis)
    put(
        base.copy(
            ref = ref,
            report = report ?: base.report,
            reportOrder = report?.let { ReportOrder(it.sequence, nowMillis) } ?: base.reportOrder,
            lastContactMillis = nowMillis,
            clock = base.clock.withAnswer(listed.clockMillis, nowMillis),
            pollSentMillis = null,
            failedCalls = 0,
            failedPolls = 0,
            refusesConnections = false,
            otherAnswerMillis = null,
            replaced = false,
            fencedToken = maxOf(base.fencedToken, token),
        ),
    )
    if (report != null) logReport("worker_joined", report, known)
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

/** Logs what [report] says and what was [known] before, to tell a restart from a false report. */
internal fun LeaderState.logReport(event: String, report: WorkerReport, known: WorkerView?) = logDecision(
    event,
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

private const val SUSPENDING_FAILURES = 2

/** A worker that fails what it starts does so in less time. */
private const val AT_WORK_MILLIS = 10_000L

/** Length of the first suspension: that of a typical disturbance of a worker. */
private const val SUSPENSION_MILLIS = 5_000L
private const val MAX_DOUBLINGS = 3
