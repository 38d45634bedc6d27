package org.auburnlever.workload

import com.github.michaelbull.result.get
import org.auburnlever.workload.admission.AdmissionForecast
import org.auburnlever.workload.admission.backlogAfter
import org.auburnlever.workload.leaderless.firstInOneCommit
import org.auburnlever.workload.planning.PlanningInput
import org.auburnlever.workload.planning.RunProgress
import org.auburnlever.workload.planning.UrgentDemand
import org.auburnlever.workload.planning.guaranteedJobs
import org.auburnlever.workload.planning.planWork
import org.auburnlever.workload.runs.LeaderState
import org.auburnlever.workload.runs.OrderAnswer
import org.auburnlever.workload.runs.WorkerOrder
import org.auburnlever.workload.runs.WorkerReport
import org.auburnlever.workload.runs.adoptRuns
import org.auburnlever.workload.runs.forgetEndedRuns
import org.auburnlever.workload.runs.handleEndsNotRecorded
import org.auburnlever.workload.runs.handleEndsRecorded
import org.auburnlever.workload.runs.handleLeave
import org.auburnlever.workload.runs.handlePollAnswer
import org.auburnlever.workload.runs.handleReport
import org.auburnlever.workload.runs.handleStalledRuns
import org.auburnlever.workload.runs.handleStartAnswer
import org.auburnlever.workload.runs.handleStopAnswer
import org.auburnlever.workload.runs.logUnresolvedRuns
import org.auburnlever.workload.runs.pollWorkers
import org.auburnlever.workload.runs.recordLostRuns
import org.auburnlever.workload.runs.start
import org.auburnlever.workload.runs.stop
import org.auburnlever.workload.runs.stopUnwantedRuns
import org.auburnlever.workload.runs.updateReachability
import org.auburnlever.workload.state.JobAddress
import org.auburnlever.workload.state.JobSpec
import org.auburnlever.workload.state.WorkloadCommand
import org.auburnlever.workload.state.WorkloadReply
import org.auburnlever.workload.state.WorkloadState
import org.auburnlever.workload.state.admit
import org.auburnlever.workload.state.guarantees
import org.auburnlever.workload.state.newJob

/**
 * Makes the leader's scheduling decisions: which workers may get work, which tasks start and stop, which runs ended.
 *
 * It performs no input or output: its driver calls it from a single thread with the current time and carries out the
 * returned effects in order. Its state is kept in memory and rebuilt after each election. Its orders carry the term as
 * a fencing token, so that workers refuse orders of earlier leaders.
 */
class Coordinator(
    term: Long,
    electedMillis: Long,
    private val limits: WorkloadLimits,
    private val features: Set<SchedulingFeature> = emptySet(),
) {
    private val leader = LeaderState(term, electedMillis, limits)
    private var demand = UrgentDemand()
    private var forecast = AdmissionForecast()

    // Until then, workers may be unknown only because their reports have not come yet.
    private val forecastFromMillis = electedMillis + limits.reportMillis * REPORTS_UNTIL_FORECAST
    private var assigning = false
    private var nextPlanMillis = electedMillis + limits.reportMillis / 2
    private var lastPlanMillis = 0L
    private var nextForgetMillis = electedMillis
    private var nextSummaryMillis = electedMillis + SUMMARY_INTERVAL_MILLIS

    /** Handles a worker's report; a report older than the newest known one is ignored. */
    fun onReport(report: WorkerReport, nowMillis: Long): List<CoordinatorEffect> =
        leader.collect { handleReport(report, nowMillis) }

    /** Handles the announcement of the worker [workerId] that it shuts down. */
    fun onLeave(workerId: String, nowMillis: Long): List<CoordinatorEffect> =
        leader.collect { handleLeave(workerId, nowMillis) }

    /** Handles the answer to [order], which was sent at [sentMillis]. */
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

    /**
     * Handles [reply] to a proposal whose command was applied.
     *
     * [confirmedMillis] is when a majority last confirmed the leadership. A leader that was paused between the commit
     * and this call may have been replaced, so without a recent confirmation nothing is started: the next ticks adopt
     * the assigned runs, find them missing at their workers and place their tasks anew.
     */
    fun onApplied(
        state: WorkloadState,
        tag: ProposalTag,
        reply: WorkloadReply,
        confirmedMillis: Long,
        nowMillis: Long,
    ): List<CoordinatorEffect> = leader.collect {
        when (tag) {
            ProposalTag.Assign -> {
                assigning = false
                val runs = (reply as? WorkloadReply.Assigned)?.runs.orEmpty()
                if (isConfirmed(confirmedMillis, nowMillis)) {
                    runs.forEach { start(state, it, confirmedMillis, nowMillis) }
                } else {
                    logDecision("starts_withheld", "${runs.size}", "confirmedAgoMillis" to nowMillis - confirmedMillis)
                }
            }
            is ProposalTag.Ends ->
                handleEndsRecorded(state, tag, (reply as? WorkloadReply.Recorded)?.endedJobs.orEmpty())
            ProposalTag.Housekeeping -> Unit
        }
        onChange(nowMillis)
    }

    /** Handles a proposal that was refused or whose outcome is unknown; a later plan or poll leads to a new one. */
    fun onNotApplied(tag: ProposalTag, nowMillis: Long): List<CoordinatorEffect> = leader.collect {
        when (tag) {
            ProposalTag.Assign -> assigning = false
            is ProposalTag.Ends -> handleEndsNotRecorded(tag)
            ProposalTag.Housekeeping -> Unit
        }
        nextPlanMillis = nowMillis + PLAN_INTERVAL_MILLIS
    }

    /**
     * Returns after how many milliseconds a caller should submit the job [spec] again, or null if it is to be accepted.
     *
     * The answer is a forecast; whether the job is turned away is decided when its command is applied.
     */
    fun retryAfterMillis(state: WorkloadState, address: JobAddress, spec: JobSpec, nowMillis: Long): Long? {
        val job = state.admit(address).get()?.let { state.copy(nowMillis = nowMillis).newJob(it, spec) } ?: return null
        val guaranteed = job.id in guaranteedJobs(state.jobs.values + job, state.guarantees())
        val retryAfterMillis = forecast.retryAfterMillis(job, guaranteed)
        if (retryAfterMillis != null && job.id !in state.jobs) {
            forecast = forecast.turnedAway(job, nowMillis + retryAfterMillis)
        }
        return retryAfterMillis
    }

    /** Schedules a plan after a change of jobs or of the catalog; changes in quick succession share one plan. */
    fun onChange(nowMillis: Long) {
        nextPlanMillis = minOf(nextPlanMillis, maxOf(nowMillis, lastPlanMillis + MIN_PLAN_GAP_MILLIS))
    }

    /**
     * Does the periodic work: polls workers, stops unwanted runs, records lost ones, and plans.
     *
     * [confirmedMillis] is when a majority last confirmed the leadership; leases of workers are counted from then.
     */
    fun tick(state: WorkloadState, confirmedMillis: Long, nowMillis: Long): List<CoordinatorEffect> = leader.collect {
        forgetEndedRuns(state)
        // The assignments of a proposal may be applied before the reply to it is handled, which then starts them.
        if (!assigning) adoptRuns(state)
        val leadershipConfirmed = isConfirmed(confirmedMillis, nowMillis)
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
        val input = PlanningInput(
            jobs = jobs,
            workers = usable,
            stopping = stopping,
            progress = runs.mapValues { (_, view) -> RunProgress(view.percent, view.progressMillis) },
            guarantees = state.guarantees(),
            urgentReserve = demand.reserve(jobs),
            limits = limits,
            features = features,
        )
        val plan = planWork(input, nowMillis)
        if (nowMillis >= forecastFromMillis) {
            forecast = forecast.updated(backlogAfter(plan, input, workers.values, nowMillis), nowMillis)
        }
        plan.preemptedFor.forEach { (run, step) ->
            logDecision("task_displaced", run.toString(), "for" to step)
            runs[run]?.let { stop(run, it, nowMillis) }
        }
        val assignments = if (SchedulingFeature.LEADERLESS_ADMISSION in features) {
            plan.assignments.firstInOneCommit()
        } else {
            plan.assignments
        }
        if (assignments.isNotEmpty()) {
            assigning = true
            propose(WorkloadCommand.Assign(assignments), ProposalTag.Assign)
        }
    }

    private fun isConfirmed(confirmedMillis: Long, nowMillis: Long): Boolean =
        nowMillis - confirmedMillis <= CONFIRMATION_LIMIT_MILLIS

    private companion object {
        /** A plan takes effect with a commit, in about 50 ms, so planning much more often finds nothing new. */
        const val PLAN_INTERVAL_MILLIS = 250L

        /** Starts wait for a commit of about 50 ms, so jobs within half of that lose nothing by sharing a plan. */
        const val MIN_PLAN_GAP_MILLIS = 25L

        /** One election timeout: without a confirmation for this long, another leader may have been elected. */
        const val CONFIRMATION_LIMIT_MILLIS = 1_000L

        /** Reports that each worker has sent by then, of which one may be late and one lost. */
        const val REPORTS_UNTIL_FORECAST = 3
        const val FORGET_INTERVAL_MILLIS = 20_000L
        const val SUMMARY_INTERVAL_MILLIS = 4_000L
    }
}
