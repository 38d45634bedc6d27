package org.auburnlever.workload.planning

import org.auburnlever.model.AccountName
import org.auburnlever.workload.SchedulingFeature
import org.auburnlever.workload.sharing.MAX_ADVANCE_MILLIS
import org.auburnlever.workload.sharing.ResourceTime

/**
 * Returns the rank of each of [steps], which are in the order of their priority, standing and objective.
 *
 * Each step counts as started for those of its account that follow it. Otherwise all jobs of a burst would have the
 * rank of the first one and be placed by the same plan. Without [SchedulingFeature.FAIR_SHARING], all ranks are equal.
 */
internal fun PlanningInput.accountRanks(steps: List<WaitingStep>): Map<WaitingStep, Int> {
    if (SchedulingFeature.FAIR_SHARING !in features) return emptyMap()
    val ahead = HashMap<AccountName?, ResourceTime>()
    return steps.associateWith { step ->
        val account = step.job.account
        val before = ahead[account] ?: ResourceTime.NONE
        val taskMillis = minOf(durations.taskMillis(step.job, step.id.step), MAX_ADVANCE_MILLIS)
        ahead[account] = before + ResourceTime.of(step.spec.reserved, taskMillis.toDouble() * step.tasks.size)
        accountOrder.rankAfter(account, before)
    }
}
