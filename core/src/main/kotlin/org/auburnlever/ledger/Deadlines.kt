package org.auburnlever.ledger

import org.auburnlever.wire.ErrorCode
import org.auburnlever.wire.JobPhase
import org.auburnlever.wire.Outcome

private const val DONE_RETENTION_MILLIS = 24 * 3_600_000L

/** Limits the state and its snapshots; at the target of 590 jobs per day this is more than the jobs of 24 h. */
private const val MAX_DONE_JOBS = 1_000

/** When the results of done jobs exceed this size, the oldest jobs are removed with their results. */
private const val MAX_RESULT_BYTES = 4L * 1024 * 1024

/** Returns the ledger time at which the next deadline takes effect; `Long.MAX_VALUE` if there is none. */
fun LedgerState.nextDeadlineMillis(): Long {
    val oldestDone = jobs.done.values.firstOrNull()?.plus(DONE_RETENTION_MILLIS) ?: Long.MAX_VALUE
    return minOf(deadlines.nextMillis, retention.nextMillis, oldestDone)
}

internal fun Transition.processDeadlines() {
    if (state.deadlines.nextMillis <= nowMillis) {
        val (timers, rest) = state.deadlines.takeDue(nowMillis)
        state = state.copy(deadlines = rest)
        timers.forEach { fire(it) }
    }
    if (state.retention.nextMillis <= nowMillis) {
        val (timers, rest) = state.retention.takeDue(nowMillis)
        state = state.copy(retention = rest)
        timers.forEach { fire(it) }
    }
    removeOldJobs()
}

private fun Transition.fire(timer: LedgerTimer) = when (timer) {
    is LedgerTimer.ClaimDeadline -> claimTimedOut(timer)
    is LedgerTimer.KeyExpiry -> removeKey(timer.key)
    is LedgerTimer.GangDeadline -> gangTimedOut(timer)
    is LedgerTimer.StartConfirmed -> confirmStart(timer)
}

private fun Transition.claimTimedOut(timer: LedgerTimer.ClaimDeadline) {
    val claim = state.claims.all[timer.key]
    if (claim != null && claim.claimId == timer.claimId && claim.outcome == null) {
        val outcome = Outcome.Unknown(ErrorCode.DEADLINE_EXCEEDED, "no outcome was recorded before the deadline")
        val record = claim.copy(outcome = outcome, timedOut = true)
        state = state.copy(claims = state.claims.copy(all = state.claims.all.put(timer.key, record)))
        events += LedgerEvent.ClaimEnded(timer.key, outcome, timedOut = true)
    }
}

/** Removes an expired key; if its request is in progress or its job still recorded, the key is checked again later. */
private fun Transition.removeKey(key: RequestKey) {
    val claim = state.claims.all[key]
    val pending = claim != null && claim.outcome == null && claim.deadlineMillis > nowMillis
    val job = state.jobs.keys[key]?.let { job(it.jobId) }
    if (pending || job != null) {
        val later = nowMillis + LedgerState.RETENTION_WIDTH_MILLIS
        state = state.copy(retention = state.retention.add(LedgerTimer.KeyExpiry(key), later))
    } else {
        val claims = state.claims
        val size = claims.storedAnswers[key] ?: 0
        state = state.copy(
            claims = ClaimTable(claims.all.remove(key), claims.storedAnswers.remove(key), claims.storedBytes - size),
            jobs = state.jobs.copy(keys = state.jobs.keys.remove(key)),
        )
    }
}

private fun Transition.gangTimedOut(timer: LedgerTimer.GangDeadline) {
    val job = job(timer.jobId) ?: return
    val phase = if (timer.starting) JobPhase.STARTING else JobPhase.RESERVING
    if (job.token == timer.token && job.phase == phase) {
        val waitsFor = if (timer.starting) TaskState.RESERVED else TaskState.PENDING
        val late = job.tasks.indices.filter { job.tasks[it].state == waitsFor }
        val verb = if (timer.starting) "start" else "be reserved"
        late.forEach { recordStartFailure(job.jobId, it, "task $it did not $verb in time") }
        beginStop(job.jobId, StopCause.START_FAILED, "tasks $late did not $verb within 3 s")
    }
}

private fun Transition.confirmStart(timer: LedgerTimer.StartConfirmed) {
    val job = job(timer.jobId) ?: return
    if (job.token == timer.token && job.phase == JobPhase.RUNNING) {
        putJob(job.copy(confirmed = true))
        job.tasks.map { it.placement.worker }.distinct().forEach { recordWorkerSuccess(it) }
    }
}

private fun Transition.removeOldJobs() {
    var jobs = state.jobs
    while (jobs.done.isNotEmpty() && jobs.isOverLimit(nowMillis)) {
        val oldest = jobs.done.keys.first()
        jobs = jobs.copy(
            all = jobs.all.remove(oldest),
            done = jobs.done.remove(oldest),
            resultBytes = jobs.resultBytes - (jobs.all[oldest]?.resultBytes() ?: 0),
        )
    }
    if (jobs !== state.jobs) state = state.copy(jobs = jobs)
}

private fun JobTable.isOverLimit(nowMillis: Long): Boolean =
    done.size > MAX_DONE_JOBS ||
        resultBytes > MAX_RESULT_BYTES && done.size > 1 ||
        done.values.first() + DONE_RETENTION_MILLIS <= nowMillis

internal fun JobRecord.resultBytes(): Long = tasks.sumOf { (it.result?.length ?: 0).toLong() }
