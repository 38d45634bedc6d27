package org.auburnlever.fleet

import io.github.oshai.kotlinlogging.KotlinLogging
import org.auburnlever.host.GroupRunner
import org.auburnlever.host.GroupView
import org.auburnlever.host.HostClock
import org.auburnlever.host.Submission
import org.auburnlever.workload.Coordinator
import org.auburnlever.workload.WorkloadLimits
import org.auburnlever.workload.WorkloadReply
import org.auburnlever.workload.WorkloadState

private val logger = KotlinLogging.logger {}

/** One term as leader; callbacks of an earlier one are dropped. Used by the decision thread only. */
internal class LeadershipTerm(val term: Long, val readyIndex: Long) {
    /** Null until all that was committed before the term is applied. */
    var coordinator: Coordinator? = null

    /** When the question was asked that a majority confirmed last. */
    var confirmedMillis = 0L
    var nextConfirmationMillis = 0L
    var lastTickMillis = 0L
    var nextTickMillis = 0L
    var processedIndex = -1L
}

/** Follows whether this host leads the workload group, and asks a majority again and again whether it still does. */
internal class LeadershipTracker(
    private val runner: GroupRunner<WorkloadState, WorkloadReply>,
    private val limits: WorkloadLimits,
    private val clock: HostClock,
) {
    /** The present term as leader; null while another host leads. */
    var current: LeadershipTerm? = null
        private set

    /** Whether this host leads and has applied all that was committed before its term; read by any thread. */
    @Volatile
    var ready = false
        private set

    /** Takes over a change of leadership that [view] shows. */
    fun update(view: GroupView<WorkloadState>, nowMillis: Long): LeadershipTerm? {
        val next = if (view.isLeader) currentOrNew(view) else null
        if (next == null) current?.let { logger.info { "leadership of term ${it.term} lost" } }
        current = next
        if (next != null && next.coordinator == null && view.appliedIndex >= next.readyIndex) {
            logger.info { "leading in term ${view.term} from index ${view.appliedIndex}" }
            next.coordinator = Coordinator(view.term, nowMillis, limits)
        }
        ready = next?.coordinator != null
        return next
    }

    /** Asks a majority whether this host still leads; leases are counted from the time of the question. */
    fun confirmIfDue(leadership: LeadershipTerm, nowMillis: Long) {
        if (nowMillis < leadership.nextConfirmationMillis) return
        leadership.nextConfirmationMillis = nowMillis + CONFIRMATION_INTERVAL_MILLIS
        val askedMillis = clock.nowMillis()
        val confirmation = runner.read()
        confirmation.invokeOnCompletion { failure ->
            val confirmed = failure == null && confirmation.getCompleted() is Submission.Applied
            if (confirmed) {
                runner.execute { leadership.confirmedMillis = maxOf(leadership.confirmedMillis, askedMillis) }
            }
        }
    }

    private fun currentOrNew(view: GroupView<WorkloadState>): LeadershipTerm =
        current?.takeIf { it.term == view.term } ?: LeadershipTerm(view.term, view.lastIndex)

    private companion object {
        /** Three questions fit into the time after which an unconfirmed leader stops ordering. */
        const val CONFIRMATION_INTERVAL_MILLIS = 300L
    }
}
