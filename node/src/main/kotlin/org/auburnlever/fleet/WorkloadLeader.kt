package org.auburnlever.fleet

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.auburnlever.codec.Codec
import org.auburnlever.host.GroupRunner
import org.auburnlever.host.GroupView
import org.auburnlever.host.HostClock
import org.auburnlever.host.Submission
import org.auburnlever.workload.Coordinator
import org.auburnlever.workload.CoordinatorEffect
import org.auburnlever.workload.DecisionLogEntry
import org.auburnlever.workload.ProposalTag
import org.auburnlever.workload.runs.WorkerOrder
import org.auburnlever.workload.runs.WorkerReport
import org.auburnlever.workload.runs.takes
import org.auburnlever.workload.state.StampedWorkloadCommand
import org.auburnlever.workload.state.WorkloadCommand
import org.auburnlever.workload.state.WorkloadReply
import org.auburnlever.workload.state.WorkloadState

private val logger = KotlinLogging.logger {}

/**
 * Runs the [Coordinator] while this host leads the workload group: passes it ticks, reports and answers, and carries
 * out its effects.
 *
 * Everything runs on the decision thread of [runner], except that orders are sent from [scope].
 */
internal class WorkloadLeader(
    private val runner: GroupRunner<WorkloadState, WorkloadReply>,
    private val workers: WorkerClient,
    settings: FleetSettings,
    private val scope: CoroutineScope,
    private val clock: HostClock,
    private val decisions: DecisionLog,
) {
    private val leadershipTracker = LeadershipTracker(runner, clock, decisions) { term, electedMillis ->
        Coordinator(term, electedMillis, settings.limits, settings.features)
    }

    private val appliedVersions = AppliedVersionLog(decisions)

    init {
        runner.afterBatch = {
            appliedVersions.record(it)
            afterBatch(it)
        }
    }

    /** Whether this host leads and has applied all that was committed before its term. */
    val leads: Boolean get() = leadershipTracker.ready

    /**
     * Proposes a command to this replica and waits for the result.
     *
     * [command] is called on the decision thread, with the coordinator if this host leads.
     */
    suspend fun submit(command: (Coordinator?) -> WorkloadCommand): Submission<WorkloadReply> {
        val proposed = CompletableDeferred<CompletableDeferred<Submission<WorkloadReply>>>()
        runner.execute { proposed.complete(propose(command(leadershipTracker.current?.coordinator))) }
        return proposed.await().await()
    }

    /** Passes [report] to the coordinator if it can be one of a worker; returns false if this host does not lead. */
    suspend fun onReport(report: WorkerReport): Boolean = withCoordinator {
        if (runner.view.state.takes(report)) it.onReport(report, clock.nowMillis()) else listOf(ignoredEntry(report))
    }

    /** Tells the coordinator that the worker [workerId] shuts down; returns false if this host does not lead. */
    suspend fun onLeave(workerId: String): Boolean = withCoordinator { it.onLeave(workerId, clock.nowMillis()) }

    private suspend fun withCoordinator(call: (Coordinator) -> List<CoordinatorEffect>): Boolean {
        val accepted = CompletableDeferred<Boolean>()
        runner.execute {
            val current = leadershipTracker.current
            val coordinator = current?.coordinator
            if (current != null && coordinator != null) {
                carryOut(current, leadershipTracker.decide(current) { call(coordinator) })
            }
            accepted.complete(coordinator != null)
        }
        return accepted.await()
    }

    private fun propose(command: WorkloadCommand): CompletableDeferred<Submission<WorkloadReply>> =
        runner.propose(Codec.encode(StampedWorkloadCommand(clock.nowMillis(), command)))

    private fun afterBatch(view: GroupView<WorkloadState>) {
        val nowMillis = clock.nowMillis()
        val current = leadershipTracker.update(view, nowMillis)
        val coordinator = current?.coordinator
        decisions.waiting.show(coordinator?.waitingFigures)
        if (current == null || coordinator == null) return
        leadershipTracker.confirmIfDue(current, nowMillis)
        if (view.appliedIndex != current.processedIndex) {
            current.processedIndex = view.appliedIndex
            coordinator.onChange(nowMillis)
            current.nextTickMillis = minOf(current.nextTickMillis, current.lastTickMillis + MIN_TICK_INTERVAL_MILLIS)
        }
        if (nowMillis >= current.nextTickMillis) {
            current.lastTickMillis = nowMillis
            current.nextTickMillis = nowMillis + TICK_MILLIS
            val confirmedMillis = leadershipTracker.confirmedMillis(current, nowMillis)
            val effects =
                leadershipTracker.decide(current) { coordinator.tick(view.state, confirmedMillis, nowMillis) }
            carryOut(current, effects)
        }
    }

    private fun carryOut(current: LeadershipTerm, effects: List<CoordinatorEffect>) = effects.forEach { effect ->
        when (effect) {
            is CoordinatorEffect.Propose -> carryOut(current, effect)
            is CoordinatorEffect.Order -> send(current, effect.order)
            is CoordinatorEffect.Log -> decisions.write(effect.entry, current.term)
        }
    }

    private fun carryOut(current: LeadershipTerm, effect: CoordinatorEffect.Propose) {
        val result = propose(effect.command)
        result.invokeOnCompletion { runner.execute { onProposalResult(current, effect.tag, result) } }
    }

    private fun onProposalResult(
        current: LeadershipTerm,
        tag: ProposalTag,
        result: CompletableDeferred<Submission<WorkloadReply>>,
    ) {
        val coordinator = current.coordinator
        if (current !== leadershipTracker.current || coordinator == null) return
        val nowMillis = clock.nowMillis()
        val submission = result.getCompleted()
        val effects = if (submission is Submission.Applied) {
            val confirmedMillis = leadershipTracker.confirmedMillis(current, nowMillis)
            leadershipTracker.decide(current) {
                coordinator.onApplied(runner.view.state, tag, submission.reply, confirmedMillis, nowMillis)
            }
        } else {
            logger.warn { "a decision was not recorded in the log: $submission" }
            leadershipTracker.decide(current) { coordinator.onNotApplied(tag, nowMillis) }
        }
        carryOut(current, effects)
    }

    private fun send(current: LeadershipTerm, order: WorkerOrder) {
        val sentMillis = clock.nowMillis()
        if (order is WorkerOrder.Start) leadershipTracker.logFirstStart(current, sentMillis)
        scope.launch {
            val answer = workers.send(order)
            runner.execute {
                val coordinator = current.coordinator
                val nowMillis = clock.nowMillis()
                decisions.recordOrderDuration(order, nowMillis - sentMillis)
                if (current === leadershipTracker.current && coordinator != null) {
                    val state = runner.view.state
                    val effects = leadershipTracker.decide(current) {
                        coordinator.onAnswer(state, order, answer, sentMillis, nowMillis)
                    }
                    carryOut(current, effects)
                }
            }
        }
    }

    private companion object {
        const val TICK_MILLIS = 100L

        /** A tick checks every run, which would cost too much after each entry that a busy leader applies. */
        const val MIN_TICK_INTERVAL_MILLIS = 20L
    }
}

private fun ignoredEntry(report: WorkerReport): CoordinatorEffect {
    val details = mapOf(
        "service" to report.service,
        "address" to report.ref.address,
        "sender" to report.sender,
        "reason" to "unknown service",
    )
    return CoordinatorEffect.Log(DecisionLogEntry("report_ignored", report.ref.id, details))
}
