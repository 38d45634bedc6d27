package org.auburnlever.workload.preemption

import org.auburnlever.workload.planning.WorkPlan
import org.auburnlever.workload.runs.LeaderState
import org.auburnlever.workload.runs.WorkerView
import org.auburnlever.workload.state.JobRecord

/**
 * What the leader keeps between plans for preemption.
 *
 * @property budget null until the first plan
 * @property outcome totals of all plans so far, and what the newest plan did not permit
 */
data class PreemptionControl(
    val budget: PreemptionBudget? = null,
    val outcome: PreemptionOutcome = PreemptionOutcome(),
) {
    /** Returns the control at [nowMillis]; a new leader rebuilds it from [jobs]. */
    fun updated(jobs: Collection<JobRecord>, workers: Collection<WorkerView>, nowMillis: Long): PreemptionControl {
        val capacity = workers.sumOf { it.report?.capacity?.weightMilliCores ?: 0 }
        val known = budget ?: PreemptionBudget.rebuilt(jobs, capacity, nowMillis)
        return copy(budget = known.refilled(capacity, nowMillis))
    }

    /** Returns the control after [plan] is carried out. */
    fun after(plan: WorkPlan): PreemptionControl {
        val latest = plan.preemption
        return PreemptionControl(
            budget?.spent(latest.budgetedMilliCoreMillis),
            PreemptionOutcome(
                outcome.budgetedMilliCoreMillis + latest.budgetedMilliCoreMillis,
                outcome.reclaimedMilliCoreMillis + latest.reclaimedMilliCoreMillis,
                latest.denied,
            ),
        )
    }
}

/** Logs the preemptions that the newest plan did not permit, unless the plan before it denied the same to the step. */
internal fun LeaderState.logDenials(before: PreemptionControl, now: PreemptionControl) {
    val known = before.outcome.denied.map { it.step to it.reason }.toSet()
    for (denial in now.outcome.denied.filter { it.step to it.reason !in known }) {
        logDecision(
            "preemption_denied",
            denial.step.toString(),
            "reason" to denial.reason,
            "lostCoreSeconds" to denial.lostMilliCoreMillis.coreSeconds(),
            "budgetCoreSeconds" to now.budget?.leftMilliCoreMillis?.coreSeconds(),
        )
    }
}

/** Logs the budget and what all plans of this leader discarded. */
internal fun LeaderState.logPreemption(control: PreemptionControl) {
    val budget = control.budget ?: return
    logDecision(
        "preemption_budget",
        "$term",
        "leftCoreSeconds" to budget.leftMilliCoreMillis.coreSeconds(),
        "budgetedCoreSeconds" to control.outcome.budgetedMilliCoreMillis.coreSeconds(),
        "reclaimedCoreSeconds" to control.outcome.reclaimedMilliCoreMillis.coreSeconds(),
    )
}

private fun Long.coreSeconds(): Long = this / MILLI_CORE_MILLIS_PER_CORE_SECOND

private const val MILLI_CORE_MILLIS_PER_CORE_SECOND = 1_000_000L
