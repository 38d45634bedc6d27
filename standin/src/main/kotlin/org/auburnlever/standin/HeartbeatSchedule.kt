package org.auburnlever.standin

/**
 * Decides when a worker sends its next heartbeat.
 *
 * A heartbeat is due each second, even while earlier ones are unanswered, because their connection may have gone
 * silent. A changed task makes one due immediately, without waiting for an answer that the entry host still holds.
 * After a failure the next one is due soon; it goes to another entry host.
 */
internal data class HeartbeatSchedule(
    val lastSentMillis: Long? = null,
    val unansweredCount: Int = 0,
    val immediate: Boolean = true,
    val notBeforeMillis: Long = Long.MIN_VALUE,
) {
    /** Says whether a heartbeat is due at [nowMillis]. */
    fun isDue(nowMillis: Long): Boolean {
        val periodic = lastSentMillis == null || nowMillis - lastSentMillis >= PERIOD_MILLIS
        return unansweredCount < MAX_UNANSWERED && nowMillis >= notBeforeMillis && (immediate || periodic)
    }

    /** Records that a heartbeat was sent at [nowMillis]. */
    fun recordSent(nowMillis: Long) =
        copy(lastSentMillis = nowMillis, unansweredCount = unansweredCount + 1, immediate = false)

    /** Records that a heartbeat was answered ([succeeded]) or failed at [nowMillis]. */
    fun recordResult(nowMillis: Long, succeeded: Boolean) =
        if (succeeded) {
            copy(unansweredCount = unansweredCount - 1)
        } else {
            copy(
                unansweredCount = unansweredCount - 1,
                immediate = true,
                notBeforeMillis = nowMillis + RETRY_DELAY_MILLIS,
            )
        }

    /** Makes a heartbeat due without delay, as when a task changed. */
    fun requestImmediate() = copy(immediate = true)

    companion object {
        /** Time between two heartbeats if nothing changes. */
        const val PERIOD_MILLIS = 1_000L

        /** Minimum time from a failed heartbeat to the next one. */
        const val RETRY_DELAY_MILLIS = 100L

        /** Maximum number of unanswered heartbeats; more would accumulate on a connection that went silent. */
        const val MAX_UNANSWERED = 3
    }
}
