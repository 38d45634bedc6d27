package org.auburnlever.workload.preemption

import org.auburnlever.workload.planning.NEVER_MILLIS
import org.auburnlever.workload.planning.Preemption
import org.auburnlever.workload.planning.PreemptionPlanner
import org.auburnlever.workload.planning.PreemptionRules
import org.auburnlever.workload.planning.WaitingStep
import org.auburnlever.workload.planning.WorkerCapacity
import org.auburnlever.workload.state.StepId
import org.auburnlever.workload.state.TaskRun

/**
 * The tasks of an urgent step that found no room.
 *
 * @property candidateSets sets of workers to place them on, such as racks
 * @property anywhere all workers that they may run on
 */
internal class UrgentClaim(
    val step: WaitingStep,
    val candidateSets: List<List<WorkerCapacity>>,
    val anywhere: List<WorkerCapacity>,
) {
    val accelerators: Int get() = step.tasks.size * step.spec.reserved.accelerators
}

/**
 * Decides for all waiting urgent steps together which running work is stopped.
 *
 * Load pattern: a burst of small urgent jobs arrives while gangs run. Each job alone would stop the gang that is
 * cheapest for it; together they need one of them, since a stop frees the workers of all members. A step that finds
 * enough work that ends while it can wait stops nothing.
 */
internal class JointPreemption(
    private val planner: PreemptionPlanner,
    private val rules: PreemptionRules,
    private val worth: CallerWorth,
    budget: PreemptionBudget?,
) {
    private var leftMilliCoreMillis = maxOf(0, budget?.leftMilliCoreMillis ?: 0)
    private var budgeted = 0L
    private var reclaimed = 0L
    private val denied = ArrayList<PreemptionDenial>()
    private val stopped = LinkedHashMap<TaskRun, StepId>()

    /** What this plan discards, and what it did not permit. */
    val outcome: PreemptionOutcome get() = PreemptionOutcome(budgeted, reclaimed, denied.toList())

    /** Returns the runs to stop for [claims], each with the step that it is stopped for, and reserves their room. */
    fun decide(claims: List<UrgentClaim>): Map<TaskRun, StepId> {
        val (due, others) = claims.partition { rules.reclaimIsDue(it.step) }
        // What a large claim frees beyond its need serves small ones.
        due.sortedByDescending { it.accelerators }.forEach { reclaim(it) }
        val deciding = others.filter { rules.canBeOnTime(it.step) }.take(MAX_DECIDED).mapNotNull { claim ->
            find(claim)?.takeIf { it.stopped.isNotEmpty() }?.let { claim to gainRatio(claim, it) }
        }
        val served = deciding.sortedByDescending { (_, ratio) -> ratio }.map { (claim, _) -> claim }
            .filter { preemptWithinBudget(it) }.toSet()
        others.filter { it !in served }.forEach { waitForEnds(it) }
        return stopped
    }

    /**
     * Stops work for [claim], which would miss its guarantee otherwise.
     *
     * A claim that does not stay within one rack takes three times as long; it leaves its rack only where the stops in
     * each rack cost more than that.
     */
    private fun reclaim(claim: UrgentClaim) {
        val patienceMillis = rules.freePatienceMillis(claim.step)
        val near = planner.find(claim.step, claim.candidateSets, patienceMillis)
        val spread = if (near == null || near.stopped.isNotEmpty()) {
            planner.find(claim.step, listOf(claim.anywhere), patienceMillis)
        } else {
            null
        }
        val spreadCost = (spread?.stopCost ?: 0) + claim.step.workMilliCoreMillis(rules.durations) * SPREAD_EXTRA_WORK
        val preemption = (if (near != null && near.stopCost <= spreadCost) near else spread) ?: return
        reclaimed += preemption.lostMilliCoreMillis
        stop(claim, preemption)
    }

    private fun find(claim: UrgentClaim): Preemption? =
        planner.find(claim.step, claim.candidateSets, rules.patienceMillis(claim.step))

    /** Stops work for [claim] if its caller gains more than others lose and the budget allows it. */
    private fun preemptWithinBudget(claim: UrgentClaim): Boolean {
        val preemption = find(claim) ?: return false
        val lost = preemption.lostMilliCoreMillis
        val reason = when {
            preemption.stopped.isEmpty() -> null
            gainRatio(claim, preemption) <= 1 -> DenialReason.NO_GAIN
            lost > leftMilliCoreMillis -> DenialReason.BUDGET
            else -> null
        }
        if (reason == null) {
            budgeted += lost
            leftMilliCoreMillis -= lost
            stop(claim, preemption)
        } else {
            denied += PreemptionDenial(claim.step.id, reason, lost)
        }
        return reason == null
    }

    private fun stop(claim: UrgentClaim, preemption: Preemption) {
        planner.reserve(claim.step, preemption, stops = true)
        preemption.stopped.flatMap { it.runs }.forEach { (run, _) -> stopped[run] = claim.step.id }
    }

    /** Reserves the room that running work leaves soonest. */
    private fun waitForEnds(claim: UrgentClaim) {
        planner.find(claim.step, claim.candidateSets, NEVER_MILLIS)?.let { planner.reserve(claim.step, it) }
    }

    /** Returns what the urgent caller gains by [preemption] against what other callers lose by it. */
    private fun gainRatio(claim: UrgentClaim, preemption: Preemption): Double {
        val gain = worth.lossIfLate(claim.step.job) * CallerWorth.WORK_FOR_WORTH
        return gain / maxOf(1L, preemption.stopCost)
    }

    private val Preemption.stopCost: Long get() = stopped.sumOf { it.stopCost.totalMilliCoreMillis }

    private companion object {
        /** Additional work of a rack-sensitive step on several racks, as a multiple of its own. */
        const val SPREAD_EXTRA_WORK = 2

        /** Bounds the work of one plan; the other steps are decided by the next one. */
        const val MAX_DECIDED = 8
    }
}
