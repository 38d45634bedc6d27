package org.auburnlever.workload.runs

import kotlinx.serialization.Serializable
import org.auburnlever.model.DomainName
import org.auburnlever.model.ServiceName
import org.auburnlever.workload.state.Resources
import org.auburnlever.workload.state.TaskRun
import org.auburnlever.workload.state.WorkerRef

/**
 * A worker's report about itself.
 *
 * @property sequence increases with each report of an incarnation, so that late reports can be detected
 * @property clockMillis the worker's own monotonic clock
 * @property labels kind and rack, in this order
 * @property sender address from which a host received the report; empty if it is not known
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
    val sender: String = "",
) {
    /** The label that names the rack; empty if the worker reports none. */
    val rack: String get() = labels.getOrElse(1) { "" }
}

/**
 * The leader's volatile knowledge of a worker, rebuilt after each election.
 *
 * @property report newest report; null until this leader has received one
 * @property lastContactMillis when the newest report or answer was received
 * @property clock what is known of the worker's clock
 * @property leaseEndMillis time at which no run that was ordered before can still be active
 * @property acknowledgedEnd number of the newest recorded end
 * @property confirmedEnd number up to which the worker has been told to forget ends
 * @property polled whether this leader has received the worker's lists
 * @property endsInFlight number of the newest end whose recording is proposed; 0 if none is
 * @property pollSentMillis when the unanswered poll was sent; null without one
 * @property pollWaitMillis for how long that poll may wait for an end
 * @property nextPollMillis earliest time of the next poll
 * @property failedCalls number of calls in a row without a usable answer
 * @property failedPolls number of polls in a row without a list
 * @property failedJobs jobs that failed on the worker since the last success
 * @property suspensions number of suspensions since the last success
 * @property suspendedUntilMillis time before which the worker gets no new work, because runs failed or it refused an
 *   order
 * @property stalledUntilMillis time before which the worker gets no new work, because a run makes no progress
 * @property stalledRun the run that made no progress when [stalledUntilMillis] was set
 * @property refusesConnections whether the newest failed call to the current address was refused because nothing
 *   listens there
 * @property predecessorLeft whether the earlier incarnation under this id drained or left before this one started
 * @property departureMillis when the worker announced its shutdown
 * @property otherAnswerMillis when another worker answered at its address; null if none has since its last answer
 * @property replaced whether another worker has answered again since, so that it has ended
 * @property firstToken lowest fencing token of the orders that were sent since this incarnation is known
 * @property fencedToken highest fencing token of a poll that the worker has answered
 * @property reportOrder which of the worker's reports is the newest
 */
data class WorkerView(
    val ref: WorkerRef,
    val report: WorkerReport? = null,
    val lastContactMillis: Long = 0,
    val clock: WorkerClock = WorkerClock(),
    val leaseEndMillis: Long = 0,
    val acknowledgedEnd: Long = 0,
    val confirmedEnd: Long = 0,
    val polled: Boolean = false,
    val endsInFlight: Long = 0,
    val pollSentMillis: Long? = null,
    val pollWaitMillis: Long = 0,
    val nextPollMillis: Long = 0,
    val failedCalls: Int = 0,
    val failedPolls: Int = 0,
    val failedJobs: Set<String> = emptySet(),
    val suspensions: Int = 0,
    val suspendedUntilMillis: Long = 0,
    val stalledUntilMillis: Long = 0,
    val stalledRun: TaskRun? = null,
    val refusesConnections: Boolean = false,
    val predecessorLeft: Boolean = false,
    val departureMillis: Long? = null,
    val otherAnswerMillis: Long? = null,
    val replaced: Boolean = false,
    val firstToken: Long = 0,
    val fencedToken: Long = 0,
    val reportOrder: ReportOrder = ReportOrder(),
) {
    /** Whether the incarnation has listed its runs for this leader; else only the replicated state names it. */
    val isConfirmed: Boolean get() = fencedToken > 0

    /**
     * Returns whether an answer to [order] that names another incarnation shows that this one has ended.
     *
     * The times at which incarnations say that they started don't tell which is the later one, as clocks are set back.
     * An order that was sent since this one is known has been answered after it.
     */
    fun isSucceededBy(order: WorkerOrder): Boolean = order.fencingToken >= firstToken

    /** Whether the worker has announced its shutdown or has ended. */
    val departed: Boolean get() = departureMillis != null || replaced

    /** Returns whether the worker may get new work: it is reachable and not left out because of its runs. */
    fun usable(nowMillis: Long, reportLimitMillis: Long): Boolean =
        reachable(nowMillis, reportLimitMillis) && nowMillis >= suspendedUntilMillis && nowMillis >= stalledUntilMillis

    /** Returns whether a start can take effect on the worker: it reports, answers, and does not leave. */
    fun reachable(nowMillis: Long, reportLimitMillis: Long): Boolean =
        report != null && !report.draining && !departed &&
            nowMillis - lastContactMillis <= reportLimitMillis && failedCalls == 0 && failedPolls == 0
}
