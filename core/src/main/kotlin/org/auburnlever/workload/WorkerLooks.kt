package org.auburnlever.workload

/** Sends the looks that are due; they extend the leases, counted from [confirmedMillis]. */
internal fun LeaderMemory.lookAtWorkers(confirmedMillis: Long, nowMillis: Long) {
    val busy = runs.values.map { it.worker.id }.toSet()
    workers.values.filter { it.dueForLook(it.ref.id in busy, limits, nowMillis) }.forEach { view ->
        // A worker that does not answer gets no longer lease, so that its tasks can be given up when it runs out. Nor
        // does one whose clock is not known: a deadline that is too late would hold to the worker's own limit.
        val extends = view.failedCalls == 0 && view.clockAtMillis > 0
        val ageMillis = nowMillis - confirmedMillis
        val deadlineMillis = view.clockNowMillis(nowMillis) + limits.leaseMillis - ageMillis
        val leaseEndMillis = if (extends) nowMillis + limits.leaseSafeMillis else view.leaseEndMillis
        put(view.copy(holdSentMillis = nowMillis, leaseEndMillis = leaseEndMillis))
        val look = WorkerOrder.Look(
            worker = view.ref,
            fencingToken = term,
            acknowledgedEnd = view.acknowledgedEnd,
            deadlineMillis = deadlineMillis.takeIf { extends },
            waitMillis = if (extends && view.ref.id in busy) LOOK_WAIT_MILLIS else 0,
        )
        order(look)
    }
}

/** Busy workers are looked at all the time; others once after an election, after an end, and after a failure. */
private fun WorkerView.dueForLook(busy: Boolean, limits: WorkloadLimits, nowMillis: Long): Boolean {
    val wanted = busy || endsInFlight > 0 || acknowledgedEnd > confirmedEnd || !looked || failedCalls > 0
    val present = busy || leftMillis == null && nowMillis - heardMillis <= limits.reportLimitMillis
    val free = holdSentMillis.let { it == null || nowMillis - it >= LOOK_LIMIT_MILLIS }
    return wanted && present && free && nowMillis >= nextHoldMillis
}

/** Takes the answer to a look that was sent at [sentMillis]. */
internal fun LeaderMemory.lookAnswered(
    state: WorkloadState,
    order: WorkerOrder.Look,
    answer: OrderAnswer,
    sentMillis: Long,
    nowMillis: Long,
) {
    val view = workers[order.worker.id] ?: return
    val pauseMillis = if (answer is OrderAnswer.Listed) 0 else FAILED_LOOK_PAUSE_MILLIS
    put(view.copy(holdSentMillis = null, nextHoldMillis = nowMillis + pauseMillis))
    if (answer is OrderAnswer.Listed && !rebornSince(order.worker, answer.bornMillis)) {
        confirmEnds(order)
        takeEnds(order.worker, answer, nowMillis)
        takeActive(state, order.worker, answer, nowMillis)
        findMissing(order.worker, answer, sentMillis, nowMillis)
    }
}

/**
 * Whether the answer comes from a later life of the worker than the one that was meant. Its lists begin anew, so
 * nothing of the earlier life is read from them.
 */
private fun LeaderMemory.rebornSince(meant: WorkerRef, bornMillis: Long?): Boolean {
    if (bornMillis == null || bornMillis <= meant.bornMillis) return false
    val known = workers[meant.id]
    if (known == null || known.ref.bornMillis < bornMillis) put(freshView(meant.copy(bornMillis = bornMillis)))
    note("worker_reborn", meant.id, "bornMillis" to bornMillis)
    return true
}

private fun LeaderMemory.confirmEnds(order: WorkerOrder.Look) {
    val view = workers[order.worker.id] ?: return
    put(view.copy(looked = true, confirmedEnd = maxOf(view.confirmedEnd, order.acknowledgedEnd)))
}

private fun LeaderMemory.takeEnds(worker: WorkerRef, listed: OrderAnswer.Listed, nowMillis: Long) {
    val view = workers[worker.id] ?: return
    val fresh = listed.ended.filter { it.number > maxOf(view.acknowledgedEnd, view.endsInFlight) }
    if (fresh.isEmpty()) return
    val ends = fresh.map { it.end }
    val through = fresh.maxOf { it.number }
    put(countFailures(view, ends, nowMillis).copy(endsInFlight = through))
    ends.forEach { end -> note("task_ended", end.run.toString(), "worker" to worker.id, "how" to end.kind) }
    recordEnds(ends, worker.id, through)
}

private fun LeaderMemory.takeActive(
    state: WorkloadState,
    ref: WorkerRef,
    listed: OrderAnswer.Listed,
    nowMillis: Long,
) = listed.active.forEach { active ->
    val task = state.task(active.run.task)
    val wanted = task?.phase == TaskPhase.ASSIGNED && task.run == active.run.run && task.worker?.id == ref.id
    if (wanted) {
        runs[active.run]?.let { put(active.run, it.seen(active, nowMillis)) }
    } else {
        order(WorkerOrder.Stop(ref, term, active.run))
        note("stray_stopped", active.run.toString(), "worker" to ref.id)
    }
}

private fun RunView.seen(active: ActiveRun, nowMillis: Long) = copy(
    answeredMillis = answeredMillis ?: nowMillis,
    begun = true,
    percent = active.percent,
    progressMillis = if (active.percent != percent) nowMillis else progressMillis,
    checkpoint = active.checkpoint.ifEmpty { checkpoint },
    missingSinceMillis = null,
)

/** Finds runs that a look did not list although their start was answered before it was sent. */
private fun LeaderMemory.findMissing(
    ref: WorkerRef,
    listed: OrderAnswer.Listed,
    sentMillis: Long,
    nowMillis: Long,
) {
    val listedRuns = listed.active.map { it.run }.toSet() + listed.ended.map { it.end.run }
    val missing = runs.filter { (run, view) ->
        view.worker.id == ref.id && run !in listedRuns && view.answeredMillis.let { it != null && it < sentMillis }
    }
    missing.forEach { (run, view) ->
        // A run that is being stopped is not listed and takes room until its end is.
        val stopped = view.stopAnsweredMillis.let { it != null && it + limits.stopSafeMillis < sentMillis }
        if (stopped) {
            recordEnds(listOf(RunEnd(run, EndKind.LOST, view.checkpoint)))
            note("task_lost", run.toString(), "worker" to ref.id, "reason" to "not listed after a stop")
        } else {
            put(run, view.copy(missingSinceMillis = view.missingSinceMillis ?: nowMillis))
            stop(run, view, nowMillis)
        }
    }
}

/** A look waits this long for an end; three of them fit into a lease. */
private const val LOOK_WAIT_MILLIS = 1_500L
private const val FAILED_LOOK_PAUSE_MILLIS = 300L

/** A look whose answer the driver lost is given up; the driver's own limit is less than half of this. */
private const val LOOK_LIMIT_MILLIS = 6_000L
