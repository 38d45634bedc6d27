package org.auburnlever.fleet

import io.github.oshai.kotlinlogging.KotlinLogging
import org.auburnlever.host.GroupRunner
import org.auburnlever.host.GroupView
import org.auburnlever.host.HostClock
import org.auburnlever.host.Submission
import org.auburnlever.workload.Coordinator
import org.auburnlever.workload.CoordinatorEffect
import org.auburnlever.workload.DecisionLogEntry
import org.auburnlever.workload.state.WorkloadReply
import org.auburnlever.workload.state.WorkloadState

private val logger = KotlinLogging.logger {}

/** One term of this host as leader. Callbacks of earlier terms are dropped. Used by the decision thread only. */
internal class LeadershipTerm(val term: Long, val readyIndex: Long, val electedMillis: Long = 0) {
    /** Whether the first start of this term has been logged. */
    var started = false

    /** Null until the entry at [readyIndex] is applied, and with it all that was committed before the term. */
    var coordinator: Coordinator? = null

    /** The last leadership check that a majority confirmed. */
    var confirmation = LeadershipConfirmation()
    var nextConfirmationMillis = 0L
    var lastTickMillis = 0L
    var nextTickMillis = 0L
    var processedIndex = -1L
}

/** Tracks whether this host leads the workload group, and confirms it with a majority at a regular interval. */
internal class LeadershipTracker(
    private val runner: GroupRunner<WorkloadState, WorkloadReply>,
    private val clock: HostClock,
    private val decisions: DecisionLog,
    private val newCoordinator: (term: Long, electedMillis: Long) -> Coordinator,
) {
    /** The current term as leader; null while this host does not lead. */
    var current: LeadershipTerm? = null
        private set

    /** Whether this host leads and has applied all that was committed before its term. May be read by any thread. */
    @Volatile
    var ready = false
        private set

    // When this replica last knew a leader, until it gave it up after its election timeout.
    private var leaderSeenMillis: Long? = null
    private var electionMillis: Long? = null

    /** Updates [current] from [view] and returns it. */
    fun update(view: GroupView<WorkloadState>, nowMillis: Long): LeadershipTerm? {
        val next = if (view.isLeader) currentOrNew(view, nowMillis) else null
        if (next == null) current?.let { logger.info { "leadership of term ${it.term} lost" } }
        current = next
        if (next != null && next.coordinator == null && view.appliedIndex >= next.readyIndex) {
            logger.info { "leading in term ${view.term} since index ${view.appliedIndex}" }
            next.coordinator = newCoordinator(view.term, nowMillis)
            logReady(next, nowMillis)
        }
        if (view.leader != null) leaderSeenMillis = nowMillis
        ready = next?.coordinator != null
        return next
    }

    /** Confirms the leadership with a majority if that is due. Leases count from the time when the check was sent. */
    fun confirmIfDue(leadership: LeadershipTerm, nowMillis: Long) {
        if (nowMillis < leadership.nextConfirmationMillis) return
        leadership.nextConfirmationMillis = nowMillis + CONFIRMATION_INTERVAL_MILLIS
        val asked = LeadershipConfirmation(clock.nowMillis(), clock.timeOfDayMillis())
        val confirmation = runner.read()
        confirmation.invokeOnCompletion { failure ->
            val confirmed = failure == null && confirmation.getCompleted() is Submission.Applied
            if (confirmed) {
                runner.execute { leadership.confirmation = leadership.confirmation.newest(asked) }
            }
        }
    }

    /** Returns when a majority last confirmed [leadership], by the monotonic clock. */
    fun confirmedMillis(leadership: LeadershipTerm, nowMillis: Long): Long =
        leadership.confirmation.confirmedMillis(nowMillis, clock.timeOfDayMillis())

    /**
     * Runs [decision] of the coordinator of [leadership].
     *
     * If it fails, a new coordinator takes over for the same term and learns from the recorded assignments and the
     * workers, as after an election. Otherwise one report or answer that nobody expected would stop this host, and the
     * same one the next leader.
     */
    @Suppress("TooGenericExceptionCaught") // Any exception of a decision is handled the same way.
    fun decide(
        leadership: LeadershipTerm,
        decision: () -> List<CoordinatorEffect>,
    ): List<CoordinatorEffect> = try {
        decision()
    } catch (e: RuntimeException) {
        decisions.recordFailure(e)
        leadership.coordinator = leadership.coordinator?.let { Coordinator(it, clock.nowMillis()) }
        emptyList()
    }

    private fun currentOrNew(view: GroupView<WorkloadState>, nowMillis: Long): LeadershipTerm =
        current?.takeIf { it.term == view.term } ?: LeadershipTerm(view.term, view.lastIndex, nowMillis)
            .also { electionMillis = leaderSeenMillis?.let { seen -> nowMillis - seen } }

    private fun logReady(leadership: LeadershipTerm, nowMillis: Long) {
        val details = mapOf(
            "electionMillis" to electionMillis,
            "adoptionMillis" to nowMillis - leadership.electedMillis,
        )
        decisions.write(DecisionLogEntry("leadership_ready", "${leadership.term}", details), leadership.term)
    }

    /** Logs how long after the election of [leadership] its first start is sent. */
    fun logFirstStart(leadership: LeadershipTerm, nowMillis: Long) {
        if (leadership.started) return
        leadership.started = true
        val details = mapOf("sinceElectionMillis" to nowMillis - leadership.electedMillis)
        decisions.write(DecisionLogEntry("leadership_first_start", "${leadership.term}", details), leadership.term)
    }

    private companion object {
        /** Three checks fit into the time after which a leader without confirmation stops sending orders. */
        const val CONFIRMATION_INTERVAL_MILLIS = 300L
    }
}
