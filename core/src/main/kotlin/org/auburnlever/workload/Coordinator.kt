package org.auburnlever.workload

/**
 * The leader's decisions about workers: who may work, which tasks start and stop, which runs have ended.
 *
 * It does no input or output. The driver calls it from one thread with the present time, and carries out the effects
 * in order. What it remembers is learned anew after each election; its term fences the orders of earlier leaders.
 */
class Coordinator(term: Long, electedMillis: Long, private val limits: WorkloadLimits) {
    private val leader = LeaderState(term, electedMillis, limits)
    private var demand = UrgentDemand()
    private var assigning = false
    private var nextPlanMillis = electedMillis + limits.reportMillis / 2
    private var lastPlanMillis = 0L
    private var nextForgetMillis = electedMillis
    private var nextSummaryMillis = electedMillis + SUMMARY_INTERVAL_MILLIS

    /** Takes a worker's report; an older one than the newest known is ignored. */
    fun onReport(report: WorkerReport, nowMillis: Long): List<CoordinatorEffect> =
        leader.collect { handleReport(report, nowMillis) }

    /** The worker [workerId] said that it ends. */
    fun onLeave(workerId: String, nowMillis: Long): List<CoordinatorEffect> =
        leader.collect { handleLeave(workerId, nowMillis) }

    /** Takes the answer to [order], which was sent at [sentMillis]. */
    fun onAnswer(
        state: WorkloadState,
        order: WorkerOrder,
        answer: OrderAnswer,
        sentMillis: Long,
        nowMillis: Long,
    ): List<CoordinatorEffect> = leader.collect {
        updateReachability(order.worker, answer, nowMillis)
        when (order) {
            is WorkerOrder.Start -> handleStartAnswer(order, answer, nowMillis)
            is WorkerOrder.Stop -> handleStopAnswer(order, answer, nowMillis)
            is WorkerOrder.Poll -> handlePollAnswer(state, order, answer, sentMillis, nowMillis)
        }
    }

    /** The command of a proposal was applied with [reply]. */
    fun onApplied(
        state: WorkloadState,
        tag: ProposalTag,
        reply: WorkloadReply,
        nowMillis: Long,
    ): List<CoordinatorEffect> = leader.collect {
        when (tag) {
            ProposalTag.Assign -> {
                assigning = false
                (reply as? WorkloadReply.Assigned)?.runs?.forEach { start(state, it, nowMillis) }
            }
            is ProposalTag.Ends ->
                handleEndsRecorded(state, tag, (reply as? WorkloadReply.Recorded)?.endedJobs.orEmpty())
            ProposalTag.Housekeeping -> Unit
        }
        onChange(nowMillis)
    }

    /** A proposal was refused or its outcome is not known; what it was for is tried again. */
    fun onNotApplied(tag: ProposalTag, nowMillis: Long): List<CoordinatorEffect> = leader.collect {
        when (tag) {
            ProposalTag.Assign -> assigning = false
            is ProposalTag.Ends -> handleEndsNotRecorded(tag)
            ProposalTag.Housekeeping -> Unit
        }
        nextPlanMillis = nowMillis + PLAN_INTERVAL_MILLIS
    }

    /** Jobs or the desired state changed, so a plan is due; changes that follow each other closely share one. */
    fun onChange(nowMillis: Long) {
        nextPlanMillis = minOf(nextPlanMillis, maxOf(nowMillis, lastPlanMillis + MIN_PLAN_GAP_MILLIS))
    }

    /**
     * Does what is due: looks at workers, stops runs that must not go on, gives up lost ones, and plans.
     * [confirmedMillis] is when a majority last confirmed the leadership; leases are counted from there.
     */
    fun tick(state: WorkloadState, confirmedMillis: Long, nowMillis: Long): List<CoordinatorEffect> = leader.collect {
        adoptRuns(state)
        val leadershipConfirmed = nowMillis - confirmedMillis <= CONFIRMATION_LIMIT_MILLIS
        if (leadershipConfirmed) {
            stopUnwantedRuns(state, nowMillis)
            handleStalledRuns(state, nowMillis)
            pollWorkers(confirmedMillis, nowMillis)
        }
        recordLostRuns(nowMillis)
        if (leadershipConfirmed && !assigning && nowMillis >= nextPlanMillis) plan(state, nowMillis)
        if (nowMillis >= nextSummaryMillis) {
            nextSummaryMillis = nowMillis + SUMMARY_INTERVAL_MILLIS
            logUnresolvedRuns(unresolvedSinceMillis = nowMillis - SUMMARY_INTERVAL_MILLIS, nowMillis)
            logFleetSummary(state, demand.reserve(state.jobs.values), nowMillis)
        }
        if (nowMillis >= nextForgetMillis) {
            nextForgetMillis = nowMillis + FORGET_INTERVAL_MILLIS
            val command = WorkloadCommand.ForgetJobs(nowMillis - limits.jobRetentionMillis)
            propose(command, ProposalTag.Housekeeping)
        }
    }

    private fun LeaderState.plan(state: WorkloadState, nowMillis: Long) {
        lastPlanMillis = nowMillis
        nextPlanMillis = nowMillis + PLAN_INTERVAL_MILLIS
        val jobs = state.jobs.values
        val usable = workers.values.filter { it.usable(nowMillis, limits.reportLimitMillis) }
        val stopping = runs.filterValues { it.stopSentMillis != null }.keys
        demand = demand.observed(jobs, nowMillis)
        val plan = planWork(jobs, usable, stopping, demand.reserve(jobs), nowMillis)
        plan.preemptedFor.forEach { (run, step) ->
            logDecision("task_displaced", run.toString(), "for" to step)
            runs[run]?.let { stop(run, it, nowMillis) }
        }
        if (plan.assignments.isNotEmpty()) {
            assigning = true
            propose(WorkloadCommand.Assign(plan.assignments), ProposalTag.Assign)
        }
    }

    private companion object {
        /** A plan takes a commit of about 50 ms to take effect; planning more often finds nothing new. */
        const val PLAN_INTERVAL_MILLIS = 250L

        /** A plan's starts take a commit, so jobs that arrive within half of one lose nothing by a shared plan. */
        const val MIN_PLAN_GAP_MILLIS = 25L

        /** Without a confirmation for this time a successor may have been elected; one election timeout. */
        const val CONFIRMATION_LIMIT_MILLIS = 1_000L
        const val FORGET_INTERVAL_MILLIS = 20_000L
        const val SUMMARY_INTERVAL_MILLIS = 4_000L
    }
}
