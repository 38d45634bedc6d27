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
import org.auburnlever.workload.ProposalTag
import org.auburnlever.workload.StampedWorkloadCommand
import org.auburnlever.workload.WorkerOrder
import org.auburnlever.workload.WorkerReport
import org.auburnlever.workload.WorkloadCommand
import org.auburnlever.workload.WorkloadLimits
import org.auburnlever.workload.WorkloadReply
import org.auburnlever.workload.WorkloadState

private val logger = KotlinLogging.logger {}

/**
 * Runs the [Coordinator] while this host leads the workload group: passes it time and answers, and carries out its
 * effects.
 *
 * All of it happens on the decision thread of [runner]; only orders are sent from [scope].
 */
internal class WorkloadLeader(
    private val runner: GroupRunner<WorkloadState, WorkloadReply>,
    private val workers: WorkerClient,
    limits: WorkloadLimits,
    private val scope: CoroutineScope,
    private val clock: HostClock,
    private val decisions: DecisionLog,
) {
    private val terms = LeadershipTerms(runner, limits, clock)

    init {
        runner.afterBatch = { afterBatch(it) }
    }

    /** Whether this host leads and has applied all that was committed before its term. */
    val leads: Boolean get() = terms.ready

    /** Submits [command] at this replica. */
    suspend fun submit(command: WorkloadCommand): Submission<WorkloadReply> = propose(command).await()

    /** Passes [report] on; false if this host does not lead. */
    suspend fun reported(report: WorkerReport): Boolean = decide { it.onReport(report, clock.nowMillis()) }

    /** Passes on that the worker [workerId] ends; false if this host does not lead. */
    suspend fun left(workerId: String): Boolean = decide { it.onLeave(workerId, clock.nowMillis()) }

    private suspend fun decide(decision: (Coordinator) -> List<CoordinatorEffect>): Boolean {
        val taken = CompletableDeferred<Boolean>()
        runner.execute {
            val current = terms.current
            val coordinator = current?.coordinator
            if (current != null && coordinator != null) carryOut(current, decision(coordinator))
            taken.complete(coordinator != null)
        }
        return taken.await()
    }

    private fun propose(command: WorkloadCommand): CompletableDeferred<Submission<WorkloadReply>> =
        runner.propose(Codec.encode(StampedWorkloadCommand(clock.nowMillis(), command)))

    private fun afterBatch(view: GroupView<WorkloadState>) {
        val nowMillis = clock.nowMillis()
        val current = terms.follow(view, nowMillis) ?: return
        val coordinator = current.coordinator ?: return
        terms.confirmIfDue(current, nowMillis)
        if (view.appliedIndex != current.seenIndex) {
            current.seenIndex = view.appliedIndex
            coordinator.onChange(nowMillis)
            current.nextTickMillis = minOf(current.nextTickMillis, current.lastTickMillis + MIN_TICK_GAP_MILLIS)
        }
        if (nowMillis >= current.nextTickMillis) {
            current.lastTickMillis = nowMillis
            current.nextTickMillis = nowMillis + TICK_MILLIS
            carryOut(current, coordinator.tick(view.state, current.confirmedMillis, nowMillis))
        }
    }

    private fun carryOut(current: Leadership, effects: List<CoordinatorEffect>) = effects.forEach { effect ->
        when (effect) {
            is CoordinatorEffect.Propose -> carryOut(current, effect)
            is CoordinatorEffect.Order -> send(current, effect.order)
            is CoordinatorEffect.Log -> decisions.write(effect.entry, current.term)
        }
    }

    private fun carryOut(current: Leadership, effect: CoordinatorEffect.Propose) {
        val result = propose(effect.command)
        result.invokeOnCompletion { runner.execute { proposalEnded(current, effect.tag, result) } }
    }

    private fun proposalEnded(
        current: Leadership,
        tag: ProposalTag,
        result: CompletableDeferred<Submission<WorkloadReply>>,
    ) {
        val coordinator = current.coordinator
        if (current !== terms.current || coordinator == null) return
        val nowMillis = clock.nowMillis()
        val submission = result.getCompleted()
        val effects = if (submission is Submission.Applied) {
            coordinator.onApplied(runner.view.state, tag, submission.reply, nowMillis)
        } else {
            logger.warn { "a decision was not recorded: $submission" }
            coordinator.onNotApplied(tag, nowMillis)
        }
        carryOut(current, effects)
    }

    private fun send(current: Leadership, order: WorkerOrder) {
        val sentMillis = clock.nowMillis()
        scope.launch {
            val answer = workers.send(order)
            runner.execute {
                val coordinator = current.coordinator
                val nowMillis = clock.nowMillis()
                decisions.answered(order, nowMillis - sentMillis)
                if (current === terms.current && coordinator != null) {
                    val state = runner.view.state
                    carryOut(current, coordinator.onAnswer(state, order, answer, sentMillis, nowMillis))
                }
            }
        }
    }

    private companion object {
        const val TICK_MILLIS = 100L

        /** A tick looks at every run; a busy leader applies entries more often than that would pay. */
        const val MIN_TICK_GAP_MILLIS = 20L
    }
}
