package org.auburnlever.workload

import kotlinx.serialization.Serializable
import org.auburnlever.world.DomainName
import org.auburnlever.world.ServiceName

/**
 * What a worker says of itself.
 *
 * @property sequence rises with each report of a life, so that a late one can be told
 * @property clockMillis the worker's own steady clock
 * @property labels kind and rack, in this order
 */
@Serializable
data class WorkerReport(
    val ref: WorkerRef,
    val service: ServiceName,
    val failureDomain: DomainName,
    val draining: Boolean,
    val capacity: Resources,
    val labels: List<String>,
    val clockMillis: Long,
    val sequence: Long,
) {
    /** The label that names the rack. */
    val rack: String get() = labels.getOrElse(1) { "" }
}

/**
 * What the leader knows of a worker; kept in memory and learned anew after an election.
 *
 * @property report newest report; null until one came to this leader
 * @property lastContactMillis when the newest report or answer came
 * @property clockMillis the worker's clock at [clockReadMillis]
 * @property leaseEndMillis time from which nothing that was ordered before can run any more
 * @property acknowledgedEnd number of the newest end that is recorded
 * @property confirmedEnd number up to which the worker has been told to forget ends
 * @property polled whether this leader has seen the worker's lists
 * @property pollSentMillis when the open look was sent; null if none is open
 * @property nextPollMillis earliest time of the next look
 * @property failedJobs jobs that failed here since the last success
 * @property suspendedUntilMillis no new work before this time
 */
data class WorkerView(
    val ref: WorkerRef,
    val report: WorkerReport? = null,
    val lastContactMillis: Long = 0,
    val clockMillis: Long = 0,
    val clockReadMillis: Long = 0,
    val leaseEndMillis: Long = 0,
    val acknowledgedEnd: Long = 0,
    val confirmedEnd: Long = 0,
    val polled: Boolean = false,
    val endsInFlight: Long = 0,
    val pollSentMillis: Long? = null,
    val nextPollMillis: Long = 0,
    val failedCalls: Int = 0,
    val failedJobs: Set<String> = emptySet(),
    val suspensions: Int = 0,
    val suspendedUntilMillis: Long = 0,
    val departureMillis: Long? = null,
) {
    /** Whether new work may be ordered: it reports itself, answers, isn't leaving and isn't suspended. */
    fun usable(nowMillis: Long, reportLimitMillis: Long): Boolean =
        report != null && !report.draining && departureMillis == null &&
            nowMillis - lastContactMillis <= reportLimitMillis &&
            failedCalls == 0 && nowMillis >= suspendedUntilMillis

    /** The worker's clock now, or a little before. */
    fun clockNowMillis(nowMillis: Long): Long = clockMillis + (nowMillis - clockReadMillis)
}
