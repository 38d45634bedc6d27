package org.auburnlever.workload

/**
 * Time limits that the worker protocol sets or leaves to the leader.
 *
 * @property leaseMillis how long a worker continues without a new poll; bounds how long an unreachable worker's tasks
 *   are blocked
 * @property reportMillis interval of the workers' reports
 * @property jobRetentionMillis how long the state of an ended job can be queried
 * @property stopMillis maximum time that a worker takes for a stop
 * @property longestLeaseMillis longest lease that a worker grants, whatever the order says
 * @property reclaimMillis time from the acceptance of an urgent job within its account's guarantee until all tasks of
 *   its first step must have begun
 * @property evacuationMillis time from the acknowledgement of an evacuation after which no task may start in the
 *   failure domain; null if the deployment sets none
 * @property paceMillis time after which a worker applies an ordered pace
 * @property interferenceMillis time for which a serving task may be over its target because of tasks on spare cores
 * @property noticeMillis time after which a task that is not at work counts as unavailable, whatever the cause
 */
data class WorkloadLimits(
    val leaseMillis: Long = LEASE_MILLIS,
    val reportMillis: Long = REPORT_MILLIS,
    val jobRetentionMillis: Long = JOB_RETENTION_MILLIS,
    val stopMillis: Long = STOP_MILLIS,
    val longestLeaseMillis: Long = LONGEST_LEASE_MILLIS,
    val reclaimMillis: Long = RECLAIM_MILLIS,
    val evacuationMillis: Long? = null,
    val paceMillis: Long = PACE_MILLIS,
    val interferenceMillis: Long = INTERFERENCE_MILLIS,
    val noticeMillis: Long = NOTICE_MILLIS,
) {
    /** Age of the last contact above which a worker gets no new work; two reports in a row may be lost. */
    val reportLimitMillis: Long get() = reportMillis * 2 + reportMillis / 2

    /** Time from sending an order until its lease has certainly expired: clocks may be 2% slow, calls take time. */
    val leaseSafeMillis: Long get() = safeMillis(leaseMillis)

    /** The same for an order whose deadline was computed for another clock, so that only the worker's limit applies. */
    val longestLeaseSafeMillis: Long get() = safeMillis(maxOf(leaseMillis, longestLeaseMillis))

    /**
     * Lease of a worker that drains. Nothing but the end of the lease may show that the worker has ended, and the tasks
     * that it ran start again only then.
     */
    val drainingLeaseMillis: Long get() = minOf(leaseMillis, DRAINING_LEASE_MILLIS)

    /** Time from the answer to a stop until the run has certainly ended and its end is listed. */
    val stopSafeMillis: Long get() = stopMillis + CALL_SLACK_MILLIS

    /** Time from the decision to preempt work until the preempting task begins. */
    val preemptionMillis: Long get() = stopMillis + PREEMPTION_CALLS_MILLIS

    /** Returns the time after which a lease that was ordered for [leaseMillis] has certainly expired. */
    internal fun safeMillis(leaseMillis: Long): Long =
        leaseMillis + leaseMillis * CLOCK_ERROR_PERCENT / PERCENT + CALL_SLACK_MILLIS

    private companion object {
        /** Three polls of 2 s; a shorter lease would end the work of a worker that is unreachable for a moment. */
        const val LEASE_MILLIS = 6_000L

        /** Three polls, which wait for half a second here, and the time that they travel. */
        const val DRAINING_LEASE_MILLIS = 2_000L
        const val REPORT_MILLIS = 1_500L
        const val JOB_RETENTION_MILLIS = 150_000L
        const val STOP_MILLIS = 900L

        /** Longest lease of the workers in the operators' first deployments. */
        const val LONGEST_LEASE_MILLIS = 10_000L

        /** Shortest time that the operators' deployments set. */
        const val RECLAIM_MILLIS = 2_700L

        /** Values of the operators' deployments that pace tasks; the shorter one where they differ. */
        const val PACE_MILLIS = 100L
        const val INTERFERENCE_MILLIS = 4_000L
        const val NOTICE_MILLIS = 6_500L

        /** A stop, the poll that lists the end, two commits between regions, a plan and a start. */
        const val PREEMPTION_CALLS_MILLIS = 500L

        /** The protocol allows 2%; the rest covers the estimate of the worker's clock. */
        const val CLOCK_ERROR_PERCENT = 4L
        const val PERCENT = 100L
        const val CALL_SLACK_MILLIS = 300L
    }
}
