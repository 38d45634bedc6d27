package org.auburnlever.routing

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/**
 * Limits retries to a part of the requests of the last ten seconds, so that retries cannot multiply an overload.
 *
 * Counts are kept for each second of a ten-second window.
 */
data class RetryBudget(private val seconds: PersistentList<Second> = persistentListOf()) {
    /** Requests and retries that began in one second. */
    data class Second(val second: Long, val requests: Int, val retries: Int)

    /** Counts a first attempt. */
    fun requested(nowMillis: Long): RetryBudget = counted(nowMillis) { it.copy(requests = it.requests + 1) }

    /** Returns the budget with one retry taken, or null if none is left. */
    fun retried(nowMillis: Long): RetryBudget? {
        val recent = recent(nowMillis)
        val allowed = (recent.sumOf { it.requests } * RETRY_PART).toInt().coerceAtLeast(LEAST_RETRIES)
        return if (recent.sumOf { it.retries } >= allowed) {
            null
        } else {
            counted(nowMillis) { it.copy(retries = it.retries + 1) }
        }
    }

    private fun counted(nowMillis: Long, change: (Second) -> Second): RetryBudget {
        val second = nowMillis / MILLIS_PER_SECOND
        val recent = recent(nowMillis)
        val last = recent.lastOrNull()?.takeIf { it.second == second }
        val rest = if (last == null) recent else recent.dropLast(1)
        return RetryBudget(persistentListOf<Second>().addAll(rest).add(change(last ?: Second(second, 0, 0))))
    }

    private fun recent(nowMillis: Long): List<Second> =
        seconds.filter { it.second > nowMillis / MILLIS_PER_SECOND - WINDOW_SECONDS }

    companion object {
        /** Retries for each request. */
        const val RETRY_PART = 0.1

        /** Retries in a window that are allowed with few requests, where 10% would be less than one. */
        const val LEAST_RETRIES = 1

        /** Length of the window. */
        const val WINDOW_SECONDS = 10

        private const val MILLIS_PER_SECOND = 1_000L
    }
}
