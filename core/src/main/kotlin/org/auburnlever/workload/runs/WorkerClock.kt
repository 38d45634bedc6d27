package org.auburnlever.workload.runs

/**
 * What is known of a worker's clock, which is steady and up to 2% slow.
 *
 * Only the worker's own answers count: too high a clock would give a worker a longer lease than its leaders wait for,
 * and reports may come from others.
 */
data class WorkerClock(private val reading: Reading? = null) {
    /** The clock showed [shownMillis] in an answer that was received at [receivedMillis]. */
    data class Reading(val shownMillis: Long, val receivedMillis: Long)

    /** Whether the worker has shown its clock. */
    val isKnown: Boolean get() = reading != null

    /** Returns whether the clock has to be read again, as the estimate may lag by more than leases may be shortened. */
    fun isOutdated(nowMillis: Long): Boolean =
        reading == null || nowMillis - reading.receivedMillis >= READING_INTERVAL_MILLIS

    /** Returns what the clock shows at [nowMillis], or less: what it would show if it were as slow as permitted. */
    fun nowMillis(nowMillis: Long): Long = if (reading == null) {
        0
    } else {
        reading.shownMillis + (nowMillis - reading.receivedMillis) * (PERCENT - MAX_CLOCK_LAG_PERCENT) / PERCENT
    }

    /** Returns the clock after an answer that showed [shownMillis]; answers may overtake each other. */
    fun withAnswer(shownMillis: Long, nowMillis: Long): WorkerClock =
        if (isKnown && nowMillis(nowMillis) > shownMillis) this else WorkerClock(Reading(shownMillis, nowMillis))

    private companion object {
        const val PERCENT = 100

        /** The operators allow the clocks of workers to be 2% slow. */
        const val MAX_CLOCK_LAG_PERCENT = 2

        /** The estimate lags by at most 0.4 s then, and leases of 6 s are shortened by that. */
        const val READING_INTERVAL_MILLIS = 20_000L
    }
}
