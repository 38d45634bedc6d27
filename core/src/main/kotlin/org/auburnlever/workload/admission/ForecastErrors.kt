package org.auburnlever.workload.admission

import org.auburnlever.workload.runs.LeaderState

/** Compares the forecast ends of accepted jobs with their actual ends. */
internal class ForecastErrors {
    private val expectedEnds = LinkedHashMap<String, Long>()
    private val errors = ArrayDeque<Long>()

    /** Notes that the job [id] was accepted and should end at [endMillis]. */
    fun expect(id: String, endMillis: Long) {
        expectedEnds[id] = endMillis
        if (expectedEnds.size > MAX_EXPECTED) expectedEnds -= expectedEnds.keys.first()
    }

    /** Notes that the job [id] has ended at [endMillis]. */
    fun ended(id: String, endMillis: Long) {
        errors += endMillis - (expectedEnds.remove(id) ?: return)
        if (errors.size > MAX_ERRORS) errors.removeFirst()
    }

    /** Returns the error that [percent] of the newest ends stay within; null without ends. */
    fun percentileMillis(percent: Int): Long? {
        val sorted = errors.map { if (it < 0) -it else it }.sorted()
        return sorted.getOrNull(minOf(sorted.size - 1, sorted.size * percent / PERCENT))
    }

    /** Returns the median of the signed errors: positive if jobs end later than forecast. */
    fun biasMillis(): Long? = errors.sorted().getOrNull(errors.size / 2)

    /** Logs the errors of the newest ends, and forgets them. */
    fun logTo(leader: LeaderState) {
        if (errors.isEmpty()) return
        leader.logDecision(
            "forecast_error",
            "${errors.size}",
            "p50Millis" to percentileMillis(MEDIAN),
            "p99Millis" to percentileMillis(TAIL),
            "biasMillis" to biasMillis(),
        )
        errors.clear()
    }

    private companion object {
        /** More jobs than the target size has active at once. */
        const val MAX_EXPECTED = 2_000
        const val MAX_ERRORS = 1_000
        const val PERCENT = 100
        const val MEDIAN = 50
        const val TAIL = 99
    }
}
