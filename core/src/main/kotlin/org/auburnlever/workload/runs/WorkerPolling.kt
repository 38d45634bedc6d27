package org.auburnlever.workload.runs

import org.auburnlever.workload.WorkloadLimits
import org.auburnlever.workload.state.TaskPhase
import org.auburnlever.workload.state.WorkerRef
import org.auburnlever.workload.state.WorkloadState

/**
 * Sends the polls that are due; they extend leases, counted from [confirmedMillis].
 *
 * The workers in [watched] answer sooner, since what they measure is needed more often, and so do those that drain, as
 * their leases are short, and those of which it is open whether a run has begun. Those that have not answered since
 * their fencing token was raised are called without a pause, and so are those in [withOpenStarts], so that a later
 * incarnation refuses the orders for an earlier one as soon as possible.
 */
internal fun LeaderState.pollWorkers(
    confirmedMillis: Long,
    nowMillis: Long,
    watched: Set<String> = emptySet(),
    withOpenStarts: Set<String> = emptySet(),
) {
    val busy = runs.values.map { it.worker.id }.toSet()
    val openWaits = openRunWaits(nowMillis)
    val contacts = workers.mapValues { (id, view) ->
        PollContact(busy = id in busy, openStart = id in withOpenStarts, fenced = view.fencedToken >= fencingToken(id))
    }
    workers.values.filter { it.dueForPoll(contacts.getValue(it.ref.id), limits, nowMillis) }.forEach { due ->
        val contact = contacts.getValue(due.ref.id)
        val view = if (due.pollSentMillis == null) due else due.copy(failedPolls = due.failedPolls + 1)
        // The lease of a worker that does not list its runs is not extended, so that they can be recorded as lost when
        // it expires. Nor is that of a worker that has announced its shutdown, as nothing else may show its end; nor is
        // it while the worker's clock is unknown: too late a deadline would give it the longest lease that it grants.
        val extends = view.answers && !view.departed && view.clock.isKnown
        val ageMillis = nowMillis - confirmedMillis
        val draining = view.report?.draining == true
        val leaseMillis = if (draining) limits.drainingLeaseMillis else limits.leaseMillis
        val deadlineMillis = view.clock.nowMillis(nowMillis) + leaseMillis - ageMillis
        // A deadline never shortens a lease, and an earlier order may have given a longer one.
        val extendedMillis = if (extends) nowMillis + limits.safeMillis(leaseMillis) else 0
        val longestWaitMillis = if (draining || view.ref.id in watched) SHORT_WAIT_MILLIS else POLL_WAIT_MILLIS
        val endWaitMillis = minOf(longestWaitMillis, openWaits[view.ref.id] ?: longestWaitMillis)
        val waitMillis = if (extends && contact.isPermanent) endWaitMillis else 0
        val leaseEndMillis = maxOf(view.leaseEndMillis, extendedMillis)
        put(view.copy(pollSentMillis = nowMillis, pollWaitMillis = waitMillis, leaseEndMillis = leaseEndMillis))
        val poll = WorkerOrder.Poll(
            worker = view.ref,
            fencingToken = fencingToken(view.ref.id),
            acknowledgedEnd = view.unconfirmedAcknowledgement,
            deadlineMillis = deadlineMillis.takeIf { extends },
            waitMillis = waitMillis,
            connectMillis = if (contact.openStart) CONNECT_MILLIS else 0,
        )
        order(poll)
    }
}

private fun WorkerView.dueForPoll(contact: PollContact, limits: WorkloadLimits, nowMillis: Long): Boolean {
    val reports = !departed && nowMillis - lastContactMillis <= limits.reportLimitMillis
    val present = reports || contact.isPermanent && !replaced
    val free = pollSentMillis.let { it == null || nowMillis - it >= contact.overdueMillis(pollWaitMillis, answers) }
    val wanted = contact.isPermanent || !contact.fenced || isUnsettled || clock.isOutdated(nowMillis)
    return wanted && present && free && (contact.isUrgent || nowMillis >= nextPollMillis)
}

private val WorkerView.answers: Boolean get() = failedCalls == 0 && failedPolls == 0

private val WorkerView.isUnsettled: Boolean
    get() = !answers || endsInFlight > 0 || acknowledgedEnd > confirmedEnd || !polled

/** Number up to which the worker is to forget ends. Repeated, it would reach a later incarnation, which has others. */
private val WorkerView.unconfirmedAcknowledgement: Long
    get() = if (answers && acknowledgedEnd > confirmedEnd) acknowledgedEnd else 0

/** Handles the answer to a poll that was sent at [sentMillis]. */
internal fun LeaderState.handlePollAnswer(
    state: WorkloadState,
    order: WorkerOrder.Poll,
    answer: OrderAnswer,
    sentMillis: Long,
    nowMillis: Long,
) {
    if (handleConfirmation(state, order, answer, sentMillis, nowMillis)) return
    val view = workers[order.worker.id]?.takeIf { it.ref == order.worker } ?: return
    val listed = answer.takeIf { it.isListOf(order.worker) } as? OrderAnswer.Listed
    val confirmsReplacement = answer == OrderAnswer.OtherIncarnation && !view.replaced
    val delayMillis = if (listed != null || confirmsReplacement) 0 else FAILED_POLL_DELAY_MILLIS
    val failedPolls = if (listed != null) 0 else view.failedPolls + 1
    put(view.copy(pollSentMillis = null, nextPollMillis = nowMillis + delayMillis, failedPolls = failedPolls))
    if (listed != null) {
        handleList(state, order, listed, sentMillis, nowMillis)
    } else if (answer is OrderAnswer.Listed) {
        handleOtherIncarnation(order, answer, nowMillis)
    }
}

/** Returns whether the answer is a list of the incarnation [expected]. */
internal fun OrderAnswer.isListOf(expected: WorkerRef): Boolean =
    this is OrderAnswer.Listed && (workerStartMillis == null || workerStartMillis == expected.startMillis)

/** Handles what the worker of [order] lists, which was asked for at [sentMillis]. */
internal fun LeaderState.handleList(
    state: WorkloadState,
    order: WorkerOrder.Poll,
    listed: OrderAnswer.Listed,
    sentMillis: Long,
    nowMillis: Long,
) {
    confirmAcknowledgedEnds(order)
    recordListedEnds(state, order.worker, listed, nowMillis)
    handleActiveRuns(state, order.worker, listed, nowMillis)
    if (listed.complete) {
        handleMissingRuns(order, listed, sentMillis, nowMillis)
    } else {
        logDecision("list_unreadable", order.worker.id, "readableRuns" to listed.active.size)
    }
}

/**
 * Handles a list of another incarnation than that which [order] was sent to and which is known of the worker.
 *
 * The lists of a later one start from scratch, so they must not be read as those of the known one. A list that names
 * another one and holds a run that the known one has begun contradicts itself, so it shows neither.
 */
private fun LeaderState.handleOtherIncarnation(
    order: WorkerOrder.Poll,
    listed: OrderAnswer.Listed,
    nowMillis: Long,
) {
    val known = workers[order.worker.id] ?: return
    val startMillis = listed.workerStartMillis ?: return
    val contradictory = listed.active.any { active ->
        runs[active.run].let { it != null && it.begun && it.worker.startMillis == known.ref.startMillis }
    }
    val isLater = known.isSucceededBy(order) && !contradictory
    if (isLater) {
        val later = known.ref.copy(startMillis = startMillis)
        raiseFenceFor(later, known.ref)
        put(freshView(later, nowMillis).copy(fencedToken = order.fencingToken))
    }
    logDecision(
        when {
            isLater -> "worker_reborn"
            contradictory -> "list_contradictory"
            else -> "list_of_earlier_incarnation"
        },
        known.ref.id,
        "bornMillis" to startMillis,
        "knownBornMillis" to known.ref.startMillis,
        "address" to known.ref.address,
    )
}

private fun LeaderState.confirmAcknowledgedEnds(order: WorkerOrder.Poll) {
    val view = workers[order.worker.id] ?: return
    put(
        view.copy(
            polled = true,
            confirmedEnd = maxOf(view.confirmedEnd, order.acknowledgedEnd),
            fencedToken = maxOf(view.fencedToken, order.fencingToken),
        ),
    )
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
    val ends = fresh.map { it.end.copy(startOpen = runs[it.end.run]?.unanswered == true) }
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
        // The start may have reached another incarnation than the one that it was sent to.
        runs[active.run]?.let { put(active.run, it.copy(worker = ref).withProgress(active, nowMillis)) }
    } else {
        order(WorkerOrder.Stop(ref, fencingToken(ref.id), active.run))
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

/** Time that a poll waits for an end; three polls fit into a lease. */
private const val POLL_WAIT_MILLIS = 1_500L

/**
 * Time that a poll waits for an end of a worker that drains or whose serving tasks have little slack; figures cover the
 * last half second.
 */
private const val SHORT_WAIT_MILLIS = 500L
private const val FAILED_POLL_DELAY_MILLIS = 300L

/** Time until the next tick sends another poll to a worker that refuses connections. */
private const val CONNECT_MILLIS = 80L

/** Time after which no answer comes any more; the driver gives up an order in less than half of it. */
internal const val LOST_ANSWER_MILLIS = 6_000L
