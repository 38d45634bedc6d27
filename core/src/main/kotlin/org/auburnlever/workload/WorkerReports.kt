package org.auburnlever.workload

/** Takes a worker's report unless a newer one is known. */
internal fun LeaderMemory.takeReport(report: WorkerReport, nowMillis: Long) {
    val known = workers[report.ref.id]
    if (known != null && known.isNewerThan(report)) return
    val reborn = known == null || known.ref.bornMillis != report.ref.bornMillis
    val base = if (known == null || reborn) freshView(report.ref) else known
    val wasDraining = known?.report?.draining ?: false
    put(
        base.copy(ref = report.ref, report = report, heardMillis = nowMillis, leftMillis = null)
            .clockSeen(report.clockMillis, nowMillis),
    )
    if (reborn || report.draining != wasDraining) noteReport(report, reborn)
}

/** Notes that the worker [workerId] said that it ends. */
internal fun LeaderMemory.takeLeave(workerId: String, nowMillis: Long) {
    val known = workers[workerId] ?: return
    put(known.copy(leftMillis = nowMillis))
    note("worker_left", workerId)
}

/** Learns from [answer] whether the worker [ref] can be reached, and what its clock shows. */
internal fun LeaderMemory.takeCallResult(ref: WorkerRef, answer: OrderAnswer, nowMillis: Long) {
    val known = workers[ref.id]?.takeIf { it.ref.bornMillis == ref.bornMillis } ?: return
    val updated = when (answer) {
        is OrderAnswer.Done -> known.heard(answer.clockMillis, nowMillis)
        is OrderAnswer.Listed -> known.heard(answer.clockMillis, nowMillis)
        is OrderAnswer.Refused -> known.copy(heardMillis = nowMillis, failedCalls = 0)
        OrderAnswer.OtherLife -> known.copy(leftMillis = known.leftMillis ?: nowMillis)
        is OrderAnswer.Unknown -> known.copy(failedCalls = known.failedCalls + 1)
    }
    if (known.failedCalls == 0 && updated.failedCalls > 0) note("worker_unreachable", ref.id, "error" to "$answer")
    if (known.failedCalls > 0 && updated.failedCalls == 0) note("worker_reachable", ref.id)
    put(updated)
}

/** Counts failures and suspends a worker on which two jobs in a row failed; one job alone may be at fault itself. */
internal fun LeaderMemory.countFailures(view: WorkerView, ends: List<RunEnd>, nowMillis: Long): WorkerView {
    val succeeded = ends.any { it.kind == EndKind.DONE }
    val failed = ends.filter { it.kind == EndKind.FAILED }.map { it.run.task.job }.toSet()
    val jobs = if (succeeded) failed else view.failedJobs + failed
    val counted = view.copy(failedJobs = jobs, suspensions = if (succeeded) 0 else view.suspensions)
    val suspend = !succeeded && failed.isNotEmpty() && jobs.size >= SUSPENDING_FAILURES
    return if (suspend) suspended(counted, nowMillis) else counted
}

/** Gives [view] no new work for a while, each time twice as long. */
internal fun LeaderMemory.suspended(view: WorkerView, nowMillis: Long): WorkerView {
    val untilMillis = nowMillis + (SUSPENSION_MILLIS shl minOf(view.suspensions, MAX_DOUBLINGS))
    note("worker_suspended", view.ref.id, "failedJobs" to view.failedJobs, "untilMillis" to untilMillis)
    return view.copy(suspendedUntilMillis = untilMillis, suspensions = view.suspensions + 1)
}

private fun LeaderMemory.noteReport(report: WorkerReport, reborn: Boolean) = note(
    if (reborn) "worker_joined" else "worker_state",
    report.ref.id,
    "address" to report.ref.address,
    "draining" to report.draining,
    "sequence" to report.sequence,
)

private fun WorkerView.isNewerThan(report: WorkerReport): Boolean {
    // The life may be known from an answer to an order, before its first report.
    val newestSequence = this.report?.sequence ?: Long.MIN_VALUE
    return ref.bornMillis > report.ref.bornMillis ||
        ref.bornMillis == report.ref.bornMillis && newestSequence >= report.sequence
}

private fun WorkerView.clockSeen(shownMillis: Long, nowMillis: Long): WorkerView =
    if (clockAtMillis == 0L || shownMillis > clockNowMillis(nowMillis)) {
        copy(clockMillis = shownMillis, clockAtMillis = nowMillis)
    } else {
        this
    }

private fun WorkerView.heard(shownMillis: Long, nowMillis: Long): WorkerView =
    copy(heardMillis = maxOf(heardMillis, nowMillis), failedCalls = 0).clockSeen(shownMillis, nowMillis)

private const val SUSPENDING_FAILURES = 2

/** First suspension; as long as a typical disturbance of a worker lasts. */
private const val SUSPENSION_MILLIS = 5_000L
private const val MAX_DOUBLINGS = 3
