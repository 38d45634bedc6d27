package org.auburnlever.routing

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/**
 * Limits retries to a fraction of the requests of the last ten seconds, so that retries cannot amplify an overload.
 *
 * Requests and retries are counted for each second of a ten-second sliding window.
 */
data class RetryBudget(private val seconds: PersistentList<SecondCounts> = persistentListOf()) {
    /** Number of requests and retries that began in one second. */
    data class SecondCounts(val second: Long, val requests: Int, val retries: Int)

    /** Counts a request, at its first attempt. */
    fun recordRequest(nowMillis: Long): RetryBudget =
        updateCurrentSecond(nowMillis) { it.copy(requests = it.requests + 1) }

    /** Returns the budget after one more retry, or null if it is exhausted. */
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
        /** Permitted retries for each request in the window. */
        const val RETRY_RATIO = 0.1

        /** Retries that are always permitted in a window: with few requests, [RETRY_RATIO] of them is less than one. */
        const val MIN_RETRIES = 1

        /** Length of the sliding window. */
        const val WINDOW_SECONDS = 10

        private const val MILLIS_PER_SECOND = 1_000L
    }
}
