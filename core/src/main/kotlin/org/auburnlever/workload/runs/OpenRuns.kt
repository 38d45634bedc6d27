package org.auburnlever.workload.runs

import org.auburnlever.workload.WorkloadLimits

/**
 * Returns for how long the next poll may wait for an end, by worker id, where it is open whether a run has begun.
 *
 * Load pattern: a start is lost while its worker has other work. Its task can start again only after lists have shown
 * that it did not begin, and that it can't begin any more once it is stopped. Polls that wait for an end of the
 * other work would add their whole wait to each of these steps.
 */
internal fun LeaderState.openRunWaits(nowMillis: Long): Map<String, Long> {
    val waits = HashMap<String, Long>()
    for (view in runs.values) {
        val waitMillis = view.openWaitMillis(limits, nowMillis)
        if (waitMillis != null) waits.merge(view.worker.id, waitMillis, ::minOf)
    }
    return waits
}

/** Returns for how long a poll may wait until it can tell more about this run; null if nothing is open. */
private fun RunView.openWaitMillis(limits: WorkloadLimits, nowMillis: Long): Long? {
    val isOpen = unseen || adopted && listedMillis == null || missingSinceMillis != null
    val waitMillis = when {
        !isOpen -> null
        // Only a list that is asked for after this time shows that the run has ended.
        missingSinceMillis != null -> if (mayBeStopping) missingSinceMillis + limits.stopSafeMillis - nowMillis else 0
        answeredMillis != null -> 0
        nowMillis - startedMillis >= LATE_ANSWER_MILLIS -> LATE_ANSWER_WAIT_MILLIS
        else -> null
    }
    return waitMillis?.coerceAtLeast(MIN_WAIT_MILLIS)
}

/** A start that travels between regions and is carried out by a busy worker is answered sooner. */
private const val LATE_ANSWER_MILLIS = 200L
private const val LATE_ANSWER_WAIT_MILLIS = 300L

/** Bounds the number of polls if a list can't be read or a stop is never answered. */
private const val MIN_WAIT_MILLIS = 50L
