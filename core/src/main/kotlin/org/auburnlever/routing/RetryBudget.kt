package org.auburnlever.routing

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/**
 * Limits retries to a part of the requests of the last ten seconds, so that retries cannot multiply an overload.
 *
 * Counts are kept for each second of a ten-second window.
 */
data class RetryBudget(private val seconds: PersistentList<SecondCounts> = persistentListOf()) {
    /** Requests and retries that began in one second. */
    data class SecondCounts(val second: Long, val requests: Int, val retries: Int)

    /** Counts a first attempt. */
    fun recordRequest(nowMillis: Long): RetryBudget =
        updateCurrentSecond(nowMillis) { it.copy(requests = it.requests + 1) }

    /** Returns the budget with one retry taken, or null if none is left. */
    fun takeRetry(nowMillis: Long): RetryBudget? {
        val recent = recent(nowMillis)
        val allowed = (recent.sumOf { it.requests } * RETRY_RATIO).toInt().coerceAtLeast(MIN_RETRIES)
        return if (recent.sumOf { it.retries } >= allowed) {
            null
        } else {
            updateCurrentSecond(nowMillis) { it.copy(retries = it.retries + 1) }
        }
    }

    private fun updateCurrentSecond(nowMillis: Long, change: (SecondCounts) -> SecondCounts): RetryBudget {
        val second = nowMillis / MILLIS_PER_SECOND
        val recent = recent(nowMillis)
        val last = recent.lastOrNull()?.takeIf { it.second == second }
        val rest = if (last == null) recent else recent.dropLast(1)
        return RetryBudget(
            persistentListOf<SecondCounts>().addAll(rest).add(change(last ?: SecondCounts(second, 0, 0))),
        )
    }

    private fun recent(nowMillis: Long): List<SecondCounts> =
        seconds.filter { it.second > nowMillis / MILLIS_PER_SECOND - WINDOW_SECONDS }

    companion object {
        /** Retries for each request. */
        const val RETRY_RATIO = 0.1

        /** Retries in a window that are allowed with few requests, where 10% would be less than one. */
        const val MIN_RETRIES = 1

        /** Length of the window. */
        const val WINDOW_SECONDS = 10

        private const val MILLIS_PER_SECOND = 1_000L
    }
}
