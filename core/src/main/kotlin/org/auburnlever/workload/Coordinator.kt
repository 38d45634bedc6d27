package org.auburnlever.workload

import org.auburnlever.workload.admission.LeaderAdmission
import org.auburnlever.workload.evacuation.evacuatedWorkers
import org.auburnlever.workload.evacuation.forbidsStartsOn
import org.auburnlever.workload.evacuation.logEvacuations
import org.auburnlever.workload.evacuation.moveEvacuatedRuns
import org.auburnlever.workload.evacuation.progress
import org.auburnlever.workload.evacuation.startingWorkers
import org.auburnlever.workload.evacuation.withholdEvacuated
import org.auburnlever.workload.holds.WaitingFigures
import org.auburnlever.workload.holds.WaitingReport
import org.auburnlever.workload.holds.leftOutWorkers
import org.auburnlever.workload.interference.Interference
import org.auburnlever.workload.interference.PollRound
import org.auburnlever.workload.interference.handleInterference
import org.auburnlever.workload.interference.handlePaceAnswer
import org.auburnlever.workload.interference.protectedRuns
import org.auburnlever.workload.interference.watchedWorkers
import org.auburnlever.workload.leaderless.firstInOneCommit
import org.auburnlever.workload.learning.durations
import org.auburnlever.workload.learning.logLearnedDurations
import org.auburnlever.workload.learning.markSlowed
import org.auburnlever.workload.placement.leavingPercent
import org.auburnlever.workload.planning.PlanningInput
import org.auburnlever.workload.planning.UrgentDemand
import org.auburnlever.workload.planning.planWork
import org.auburnlever.workload.preemption.PreemptionControl
import org.auburnlever.workload.preemption.logDenials
import org.auburnlever.workload.preemption.logPreemption
import org.auburnlever.workload.preemption.preemptionReasons
import org.auburnlever.workload.runs.LeaderState
import org.auburnlever.workload.runs.OrderAnswer
import org.auburnlever.workload.runs.WorkerOrder
import org.auburnlever.workload.runs.WorkerReport
import org.auburnlever.workload.runs.adoptRuns
import org.auburnlever.workload.runs.askForConfirmations
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
import org.auburnlever.workload.runs.raiseFenceAfter
import org.auburnlever.workload.runs.recordLostRuns
import org.auburnlever.workload.runs.start
import org.auburnlever.workload.runs.stop
import org.auburnlever.workload.runs.stopUnwantedRuns
import org.auburnlever.workload.runs.updateReachability
import org.auburnlever.workload.runs.viewOf
import org.auburnlever.workload.runs.withholdFromRestarted
import org.auburnlever.workload.runs.workersWithOpenStarts
import org.auburnlever.workload.sharing.LeaderShares
import org.auburnlever.workload.state.JobAddress
import org.auburnlever.workload.state.JobSpec
import org.auburnlever.workload.state.WorkloadCommand
import org.auburnlever.workload.state.WorkloadReply
import org.auburnlever.workload.state.WorkloadState
import org.auburnlever.workload.state.guarantees

/**
 * Makes the leader's scheduling decisions: which workers may get work, which tasks start and stop, which runs ended.
 *
 * It performs no input or output: its driver calls it from a single thread with the current time and carries out the
 * returned effects in order. Its state is kept in memory and rebuilt after each election. Its orders carry
 * fencing tokens that begin with the term, so that workers refuse orders of earlier leaders.
 */
class Coordinator private constructor(
    private val leader: LeaderState,
    private val limits: WorkloadLimits,
    private val features: Set<SchedulingFeature>,
) {
    private val electedMillis = leader.electedMillis
    private var demand = UrgentDemand()
    private val handlesInterference = SchedulingFeature.INTERFERENCE in features
    private var interference = Interference(limits)
    private val admission = LeaderAdmission(features)
    private var preemption = PreemptionControl()
    private val waiting = WaitingReport(electedMillis + limits.reportMillis)

    // Until then, workers may be unknown only because their reports have not come yet.
    private val forecastFromMillis = electedMillis + limits.reportMillis * REPORTS_UNTIL_FORECAST
    private val shares = LeaderShares(features)
    private var assigning = false
    private var nextPlanMillis = electedMillis + limits.reportMillis / 2
    private var lastPlanMillis = 0L
    private var nextForgetMillis = electedMillis
    private var nextSummaryMillis = electedMillis + limits.reportMillis

    /** Creates the coordinator of the leader that was elected for [term] at [electedMillis]. */
    constructor(
        term: Long,
        electedMillis: Long,
        limits: WorkloadLimits,
        features: Set<SchedulingFeature> = emptySet(),
    ) : this(LeaderState(term, electedMillis, limits), limits, features)

    /**
     * Creates a coordinator that takes over from [predecessor] in the same term at [nowMillis].
     *
     * It knows nothing of the workers. Its fencing tokens are higher than all before, as workers refuse lower ones.
     */
    constructor(predecessor: Coordinator, nowMillis: Long) : this(
        LeaderState(predecessor.leader.term, nowMillis, predecessor.limits, predecessor.leader.nextFence),
        predecessor.limits,
        predecessor.features,
    )

    /** Why steps wait, for metrics. */
    val waitingFigures: WaitingFigures get() = waiting.figures

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
        val clock = viewOf(order.worker)?.clock
        updateReachability(order, answer, sentMillis, nowMillis)
        raiseFenceAfter(order, answer)
        when (order) {
            is WorkerOrder.Start -> handleStartAnswer(order, answer, clock, sentMillis, nowMillis)
            is WorkerOrder.Stop -> handleStopAnswer(order, answer, nowMillis)
            is WorkerOrder.Pace -> interference = handlePaceAnswer(interference, order, answer, nowMillis)
            is WorkerOrder.Poll -> {
                val before = runs
                handlePollAnswer(state, order, answer, sentMillis, nowMillis)
                if (handlesInterference && answer is OrderAnswer.Listed) {
                    val round = PollRound(order, before, sentMillis, nowMillis)
                    interference = handleInterference(interference, state, round)
                }
            }
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
                    withholdEvacuated(state, withholdFromRestarted(state, runs))
                        .forEach { start(state, it, confirmedMillis, nowMillis) }
                } else {
                    logDecision("starts_withheld", "${runs.size}", "confirmedAgoMillis" to nowMillis - confirmedMillis)
                }
            }
            is ProposalTag.Ends -> {
                val endedJobs = (reply as? WorkloadReply.Recorded)?.endedJobs.orEmpty()
                handleEndsRecorded(state, tag, endedJobs)
                endedJobs.forEach { admission.ended(it, nowMillis) }
            }
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

    /** Returns how the submission of the job [spec] is to be decided, by a forecast; the log decides whether it is. */
    fun decideSubmission(
        state: WorkloadState,
        address: JobAddress,
        spec: JobSpec,
        nowMillis: Long,
    ): SubmissionDecision = admission.decide(state, address, spec, nowMillis)

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
        interference = interference.copy(control = interference.control.keepRuns { it in runs })
        // The assignments of a proposal may be applied before the reply to it is handled, which then starts them.
        if (!assigning) adoptRuns(state, nowMillis)
        val leadershipConfirmed = isConfirmed(confirmedMillis, nowMillis)
        if (leadershipConfirmed) {
            stopUnwantedRuns(state, nowMillis)
            handleStalledRuns(state, nowMillis, protectedRuns(state, handlesInterference, nowMillis))
            val openStarts = workersWithOpenStarts(state, nowMillis)
            pollWorkers(confirmedMillis, nowMillis, watchedWorkers(interference), openStarts)
            askForConfirmations(nowMillis)
        }
        recordLostRuns(nowMillis)
        if (leadershipConfirmed && !assigning && nowMillis >= nextPlanMillis) plan(state, nowMillis)
        if (nowMillis >= nextSummaryMillis) {
            nextSummaryMillis = nowMillis + SUMMARY_INTERVAL_MILLIS
            logUnresolvedRuns(unresolvedSinceMillis = nowMillis - SUMMARY_INTERVAL_MILLIS, nowMillis)
            logEvacuations(state, nowMillis)
            val reserve = demand.reserve(state.jobs.values, evacuatedWorkers(state))
            logFleetSummary(state, reserve, state.durations(features), nowMillis)
            shares.logTo(this)
            admission.logTo(this)
            logLearnedDurations(state.learned, features)
            logPreemption(preemption)
        }
        if (nowMillis >= nextForgetMillis) {
            nextForgetMillis = nowMillis + FORGET_INTERVAL_MILLIS
            val command = WorkloadCommand.ForgetJobs(nowMillis - limits.jobRetentionMillis)
            propose(command, ProposalTag.Housekeeping)
        }
    } + waiting.report(leader, state, nowMillis)

    private fun LeaderState.plan(state: WorkloadState, nowMillis: Long) {
        lastPlanMillis = nowMillis
        nextPlanMillis = nowMillis + PLAN_INTERVAL_MILLIS
        val jobs = state.jobs.values
        val progress = progress()
        val usable = startingWorkers(state, progress, nowMillis)
        val stopping = runs.filterValues { it.stopSentMillis != null }.keys
        demand = demand.observed(jobs, nowMillis)
        if (SchedulingFeature.PREEMPTION_BUDGET in features) preemption = preemption.updated(jobs, usable, nowMillis)
        val input = PlanningInput(
            jobs = jobs,
            workers = usable,
            stopping = stopping,
            progress = progress,
            guarantees = state.guarantees(),
            urgentReserve = demand.reserve(jobs, evacuatedWorkers(state)),
            limits = limits,
            features = features,
            neighbours = interference.neighbours(state, runs, nowMillis),
            protectedRuns = protectedRuns(state, handlesInterference, nowMillis),
            accountOrder = shares.order(state, workers.values, nowMillis),
            durations = state.durations(features),
            leavingPercent = leavingPercent(workers.values, nowMillis),
            preemption = preemption,
            leftOut = leftOutWorkers(state, progress, nowMillis),
        )
        val plan = planWork(input, nowMillis).also { waiting.planned(it, nowMillis) }
        preemption = preemption.after(plan).also { logDenials(preemption, it) }
        if (nowMillis >= forecastFromMillis) {
            val known = workers.values.filterNot { state.forbidsStartsOn(it) }
            admission.planned(state, input, plan, known, nowMillis)
        }
        plan.overridden.forEach { (step, rules) -> logDecision("hold_overridden", "$step", "rules" to rules) }
        val preemptions = preemptionReasons(state, plan, nowMillis)
        plan.preemptedFor.forEach { (run, step) ->
            logDecision("task_displaced", run.toString(), "for" to step)
            runs[run]?.let { stop(run, it, preemptions.getValue(run), nowMillis) }
        }
        moveEvacuatedRuns(state, input, plan, nowMillis)
        val bounded = if (SchedulingFeature.LEADERLESS_ADMISSION in features) {
            plan.assignments.firstInOneCommit()
        } else {
            plan.assignments
        }
        if (bounded.isNotEmpty()) {
            assigning = true
            val assignments = bounded.markSlowed(state) { workers[it]?.report?.rack }
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
