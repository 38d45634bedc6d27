package org.auburnlever.workload.runs

/**
 * How closely a worker is kept in contact.
 *
 * @property busy whether the worker has runs
 * @property openStart whether a start may still be carried out at the worker, see [workersWithOpenStarts]
 * @property fenced whether the worker has answered since its fencing token was raised
 */
internal data class PollContact(val busy: Boolean, val openStart: Boolean, val fenced: Boolean) {
    /** Whether the worker is polled all the time, also if it does not report. */
    val isPermanent: Boolean get() = busy || openStart

    /** Whether a later incarnation of the worker is to be reached as soon as possible. */
    val isUrgent: Boolean get() = openStart || !fenced

    /**
     * Returns the time after which the next poll is sent although the last one, with [waitMillis], is unanswered.
     *
     * [answers] tells whether the worker has answered since the last call that failed.
     */
    fun overdueMillis(waitMillis: Long, answers: Boolean): Long = when {
        !isUrgent -> LOST_ANSWER_MILLIS
        answers -> waitMillis + LATE_LIST_MILLIS
        else -> LATE_LIST_MILLIS
    }
}

/** Time after which a list is late that does not wait for an end; one that travels between regions takes less. */
private const val LATE_LIST_MILLIS = 300L
