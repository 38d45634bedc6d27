package org.auburnlever.workload.sharing

import org.auburnlever.model.AccountName
import org.auburnlever.workload.learning.DurationForecast
import org.auburnlever.workload.state.JobPhase
import org.auburnlever.workload.state.JobRecord
import org.auburnlever.workload.state.StepRecord
import org.auburnlever.workload.state.TaskPhase
import org.auburnlever.workload.state.TaskRecord
import kotlin.math.exp

/**
 * Time constant with which past use is forgotten.
 *
 * It is the middle of the callers' objectives, which are 4 s for urgent jobs and about 20 s for the others. A burst
 * that competes with nine accounts takes up to 1.5 s of the whole fleet before it is deferred.
 */
internal const val SHARE_WINDOW_MILLIS = 10_000L

/**
 * Longest time for which work counts in advance: half of the window, which [AccountShares.TOLERANCE] allows for.
 * Without this limit, a long task would count for more than the whole window in which it is judged.
 */
internal const val MAX_ADVANCE_MILLIS = SHARE_WINDOW_MILLIS / 2

/** Below 2% of its original weight, the use of an ended job no longer changes a rank. */
private const val FORGOTTEN_AFTER_MILLIS = 4 * SHARE_WINDOW_MILLIS

/**
 * Returns the use of each account that has run work lately or has an active job, weighted by age.
 *
 * It is derived from the replicated [jobs] only, so a new leader computes the same. A running task counts with its
 * expected duration, at most [MAX_ADVANCE_MILLIS] ahead, so that a burst counts as soon as it has taken room. A run
 * that was stopped for other work does not count, since the account gained nothing from it.
 */
internal fun accountUse(
    jobs: Collection<JobRecord>,
    durations: DurationForecast,
    nowMillis: Long,
): Map<AccountName?, ResourceTime> {
    val use = HashMap<AccountName?, ResourceTime>()
    for (job in jobs) {
        val active = job.phase == JobPhase.ACTIVE
        if (!active && nowMillis - job.endedMillis > FORGOTTEN_AFTER_MILLIS) continue
        use.merge(job.account, job.use(durations, nowMillis), ResourceTime::plus)
    }
    return use
}

private fun JobRecord.use(durations: DurationForecast, nowMillis: Long): ResourceTime {
    var total = ResourceTime.NONE
    for (steps in occurrences.values) {
        steps.forEachIndexed { index, record ->
            val millis = weightedMillis(record, durations.taskMillis(this, index), nowMillis)
            if (millis > 0) total += ResourceTime.of(spec.steps[index].reserved, millis)
        }
    }
    return total
}

/** Sums the weighted run times of the tasks; tasks of one step mostly start together and are weighted once. */
private fun JobRecord.weightedMillis(record: StepRecord, taskMillis: Long, nowMillis: Long): Double {
    var total = 0.0
    var fromMillis = 0L
    var toMillis = 0L
    var weighted = 0.0
    for (task in record.tasks) {
        if (!counts(task)) continue
        val endMillis = endMillis(task, taskMillis, nowMillis)
        if (task.assignedMillis != fromMillis || endMillis != toMillis) {
            fromMillis = task.assignedMillis
            toMillis = endMillis
            weighted = weightedMillis(fromMillis, toMillis, nowMillis)
        }
        total += weighted
    }
    return total
}

private fun JobRecord.counts(task: TaskRecord): Boolean = when (task.phase) {
    TaskPhase.ASSIGNED, TaskPhase.DONE -> task.run > 0
    TaskPhase.WAITING -> task.run > 0 && (task.failures > 0 || phase == JobPhase.CANCELED)
}

/** The end of the task's newest run; that of a done task is not stored, and taken from its duration. */
private fun JobRecord.endMillis(task: TaskRecord, taskMillis: Long, nowMillis: Long): Long {
    val expectedMillis = task.assignedMillis + taskMillis
    val latestMillis = if (phase == JobPhase.ACTIVE) nowMillis else endedMillis
    return when {
        task.phase == TaskPhase.ASSIGNED && phase == JobPhase.ACTIVE -> maxOf(nowMillis, expectedMillis)
        task.phase == TaskPhase.ASSIGNED -> nowMillis
        task.releasedMillis > task.assignedMillis -> task.releasedMillis
        else -> minOf(expectedMillis, latestMillis)
    }
}

/** Returns the time from [fromMillis] to [toMillis], the past part of it weighted by its age. */
private fun weightedMillis(fromMillis: Long, toMillis: Long, nowMillis: Long): Double {
    val pastEndMillis = minOf(toMillis, nowMillis)
    val past = maxOf(0.0, weight(nowMillis - pastEndMillis) - weight(nowMillis - fromMillis))
    val future = (toMillis - maxOf(nowMillis, fromMillis)).coerceIn(0L, MAX_ADVANCE_MILLIS)
    return past * SHARE_WINDOW_MILLIS + future
}

private fun weight(ageMillis: Long): Double = exp(-ageMillis.toDouble() / SHARE_WINDOW_MILLIS)
