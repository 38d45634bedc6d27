package org.auburnlever.ledger

import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import org.auburnlever.model.Shape

internal fun Transition.suspendWorker(action: ScheduleAction.SuspendWorker): String? {
    val worker = worker(action.worker)
    return if (worker == null || worker.failedStarts.size < worker.suspensionThreshold()) {
        "worker ${action.worker} has too few failed starts"
    } else {
        val suspension = Suspension(action.untilMillis, (worker.suspension?.level ?: 0) + 1, action.reason)
        putWorker(worker.copy(failedStarts = worker.failedStarts.clear(), suspension = suspension))
        recordWorkerChange(worker.name, DecisionKind.WORKER_SUSPENDED, action.reason)
        dropPlannedPlacements(worker.name)
        null
    }
}

/** Returns the number of failed starts that suspend the worker: one if it had no success since its last suspension. */
internal fun WorkerRecord.suspensionThreshold(): Int = if (suspension == null) SUSPEND_AFTER_FAILURES else 1

internal fun Transition.usePolicy(action: ScheduleAction.UsePolicy): String? =
    if (action.policy.bundleVersion <= state.policy.bundleVersion) {
        "policy ${action.policy.bundleVersion} is not newer than the current one"
    } else {
        state = state.copy(policy = action.policy)
        null
    }

/**
 * Replaces the guarantee plan. A placement that is no longer valid or overlaps an earlier one of the plan is dropped,
 * and the plan then stays stale. A guarantee that is claimed with the same shape keeps its claim.
 */
internal fun Transition.planGuarantees(action: ScheduleAction.PlanGuarantees): String? {
    if (action.bundleVersion < state.guarantees.bundleVersion) return "the plan is for an older bundle"
    val before = state.guarantees.entries
    val capacity = RemainingCapacity(state.workers, state.timeMillis)
    val claimed = action.plan.filter { before[it.id]?.isClaimedAs(it.shape) == true }
    claimed.forEach { capacity.allocate(before.getValue(it.id).shape, before.getValue(it.id).placement) }
    var dropped = false
    val entries = action.plan.associate { planned ->
        val old = before[planned.id]
        if (old != null && old.isClaimedAs(planned.shape)) {
            planned.id to old
        } else {
            val valid = planned.placement?.takeIf { capacity.fits(planned.shape, it) }
            dropped = dropped || valid != planned.placement
            capacity.allocate(planned.shape, valid)
            planned.id to GuaranteeRecord(planned.shape, valid)
        }
    }
    entries.forEach { (id, record) -> recordGuaranteeChange(id, before[id], record) }
    val atRisk = entries.filterValues { it.placement == null }.keys.toPersistentSet()
    state = state.copy(guarantees = GuaranteePlan(action.bundleVersion, entries.toPersistentMap(), dropped, atRisk))
    return null
}

private fun GuaranteeRecord.isClaimedAs(shape: Shape): Boolean = claimedBy != null && this.shape == shape

private fun Transition.recordGuaranteeChange(id: GuaranteeId, before: GuaranteeRecord?, after: GuaranteeRecord) {
    val wasAtRisk = id in state.guarantees.atRisk
    val isAtRisk = after.placement == null
    val kind = if (isAtRisk) DecisionKind.GUARANTEE_AT_RISK else DecisionKind.GUARANTEE_PLANNED
    if (wasAtRisk != isAtRisk) {
        val text = if (isAtRisk) "no place for guarantee ${id.index}" else "guarantee ${id.index} has a place again"
        recordDecision(kind, text, DecisionSubject(account = id.account))
        events += LedgerEvent.GuaranteeChanged(id, isAtRisk)
    } else if (before == null) {
        recordDecision(kind, "guarantee ${id.index} is planned", DecisionSubject(account = id.account))
    }
}
