package org.auburnlever.workload.runs

/**
 * The order of a worker's reports, of which each has a higher sequence than the one before.
 *
 * A report with a lower sequence than the newest one is late. But a report of another writer may have had a higher one
 * than the worker itself has reached. Then the worker's own reports keep rising below it and nothing else comes, and
 * after two missing reports the newest of them counts.
 *
 * @property sequence that of the newest report; null before the first
 * @property takenMillis when the newest report was received
 */
data class ReportOrder(
    val sequence: Long? = null,
    val takenMillis: Long = 0,
    private val lower: LowerReports? = null,
) {
    /** Reports below the newest one, which rise from the one received at [sinceMillis] to [sequence]. */
    data class LowerReports(val sequence: Long, val sinceMillis: Long)

    /** Returns the order after a report with [received] as sequence, which is the newest if the result names it. */
    fun after(received: Long, reportMillis: Long, nowMillis: Long): ReportOrder {
        if (sequence == null || received > sequence) return ReportOrder(received, nowMillis)
        val rising = lower?.takeIf { received > it.sequence }
        val sinceMillis = rising?.sinceMillis ?: nowMillis
        val overdue = nowMillis - takenMillis > reportMillis * MISSING_REPORTS
        // Late reports of a time without a connection arrive together.
        val spread = nowMillis - sinceMillis >= reportMillis
        return if (overdue && spread) {
            ReportOrder(received, nowMillis)
        } else {
            copy(lower = LowerReports(received, sinceMillis))
        }
    }

    private companion object {
        const val MISSING_REPORTS = 2
    }
}
