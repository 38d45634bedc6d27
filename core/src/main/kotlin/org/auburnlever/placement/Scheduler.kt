package org.auburnlever.placement

import org.auburnlever.configuration.Bundle
import org.auburnlever.ledger.LeaderState
import org.auburnlever.ledger.LedgerCommand
import org.auburnlever.ledger.LedgerPolicy
import org.auburnlever.ledger.LedgerState
import org.auburnlever.ledger.ScheduleAction
import org.auburnlever.ledger.WorkerRecord
import org.auburnlever.ledger.apply
import org.auburnlever.ledger.suspensionThreshold
import org.auburnlever.model.DomainName

private const val FIRST_SUSPENSION_MILLIS = 60_000L
private const val LONGEST_SUSPENSION_MILLIS = 3_600_000L
private const val MAX_DOUBLINGS = 6

/** Plans the next actions of a ledger. */
object Scheduler {
    /**
     * Returns the actions for [state]: first the policy, suspensions and the guarantee plan, then the placements and
     * preemptions that depend on them.
     *
     * A pure function: equal arguments give equal actions. Each action is validated again when it is applied.
     */
    fun plan(
        state: LedgerState,
        bundle: Bundle,
        domain: DomainName,
        leader: LeaderState,
        nowMillis: Long,
    ): List<ScheduleAction> {
        val ledgerMillis = maxOf(nowMillis, state.timeMillis)
        val first = policy(state, bundle) + suspensions(state, ledgerMillis)
        val adjusted = state.after(first, ledgerMillis)
        val guarantees = guarantees(adjusted, bundle, domain, ledgerMillis)
        val ready = adjusted.after(guarantees, ledgerMillis)
        return first + guarantees + QueuePlanner(ready, bundle, leader, ledgerMillis).plan()
    }

    private fun LedgerState.after(actions: List<ScheduleAction>, nowMillis: Long): LedgerState =
        if (actions.isEmpty()) this else apply(LedgerCommand.Schedule(actions), lastIndex, nowMillis).state

    private fun policy(state: LedgerState, bundle: Bundle): List<ScheduleAction> {
        val policy = LedgerPolicy(
            bundleVersion = bundle.version,
            quotas = bundle.accounts.associate { it.name to it.quotaAccelerators },
            services = bundle.services.mapTo(LinkedHashSet()) { it.name },
            maxStoredAnswerBytes = bundle.limits.maxStoredAnswerBytes,
        )
        val newer = bundle.version > state.policy.bundleVersion
        return if (newer) listOf(ScheduleAction.UsePolicy(policy)) else emptyList()
    }

    private fun suspensions(state: LedgerState, nowMillis: Long): List<ScheduleAction> = state.workers.values
        .filter { it.failedStarts.size >= it.suspensionThreshold() && !it.lost }
        .map { worker ->
            val untilMillis = nowMillis + suspensionMillis(worker)
            ScheduleAction.SuspendWorker(worker.name, untilMillis, "failed to start jobs ${worker.failedStarts}")
        }

    private fun suspensionMillis(worker: WorkerRecord): Long {
        val doublings = minOf(worker.suspension?.level ?: 0, MAX_DOUBLINGS)
        return minOf(FIRST_SUSPENSION_MILLIS shl doublings, LONGEST_SUSPENSION_MILLIS)
    }

    private fun guarantees(
        state: LedgerState,
        bundle: Bundle,
        domain: DomainName,
        nowMillis: Long,
    ): List<ScheduleAction> {
        val current = state.guarantees
        val outdated = bundle.version > current.bundleVersion || current.stale
        val weights = Weights(bundle.policy.completionTime, bundle.policy.fragmentation)
        return if (bundle.version < current.bundleVersion || !outdated && current.atRisk.isEmpty()) {
            emptyList()
        } else {
            val plan = GuaranteePlanner(state, bundle.guaranteedShapes(domain), weights, nowMillis).plan()
            val improved = plan.count { it.placement == null } < current.atRisk.size
            if (outdated || improved) listOf(ScheduleAction.PlanGuarantees(bundle.version, plan)) else emptyList()
        }
    }
}
