package org.auburnlever.ledger

import org.auburnlever.model.Shape
import org.auburnlever.wire.ErrorCode
import org.auburnlever.wire.JobPhase
import org.auburnlever.wire.Outcome

/** A worker is suspended after failed starts of this many different jobs without a success in between. */
internal const val SUSPEND_AFTER_FAILURES = 3

internal fun Transition.applySchedule(actions: List<ScheduleAction>): LedgerReply {
    actions.forEach { action ->
        val problem = applyAction(action)
        if (problem != null) events += LedgerEvent.ActionIgnored(action, problem)
    }
    return LedgerReply.Done
}

/** Applies [action], or returns why it is not valid in this state. */
private fun Transition.applyAction(action: ScheduleAction): String? = when (action) {
    is ScheduleAction.Place -> place(action)
    is ScheduleAction.Preempt -> preempt(action)
    is ScheduleAction.Refuse -> refuse(action)
    is ScheduleAction.Wait -> wait(action)
    is ScheduleAction.PlanGuarantees -> planGuarantees(action)
    is ScheduleAction.SuspendWorker -> suspendWorker(action)
    is ScheduleAction.UsePolicy -> usePolicy(action)
}

private fun Transition.place(action: ScheduleAction.Place): String? {
    val job = job(action.jobId)
    val problem = when {
        job == null || job.phase != JobPhase.QUEUED -> "job ${action.jobId} is not queued"
        else -> placementProblem(job, action) ?: guaranteeProblem(job, action)
    }
    if (problem == null && job != null) {
        if (action.guarantee != null) {
            val shape = state.guarantees.entries.getValue(action.guarantee).shape
            putGuarantee(action.guarantee, GuaranteeRecord(shape, action.placement, job.jobId))
        }
        reserveGang(job, action.placement, action.guarantee, action.reason)
    }
    return problem
}

/**
 * Returns why [job] can't be placed as [action] says, or null.
 *
 * The quota limits only work outside a guarantee, since a guaranteed shape must be claimable at any time.
 */
private fun Transition.placementProblem(job: JobRecord, action: ScheduleAction.Place): String? {
    val held = state.accounts[job.account]?.heldAccelerators ?: 0
    val shape = job.spec.shape
    val needed = held.toLong() + shape.acceleratorCount
    return when {
        action.guarantee == null && needed > state.policy.quota(job.account) -> "over quota"
        else -> shapeProblem(shape, action.placement, state.workers) ?: capacityProblem(action.placement, shape)
    }
}

/** Returns why a worker can't hold its tasks of [placement], or null; checks each worker once, with all its tasks. */
private fun Transition.capacityProblem(placement: GangPlacement, shape: Shape): String? =
    placement.tasks.groupBy { it.worker }.firstNotNullOfOrNull { (name, tasks) ->
        val worker = checkNotNull(worker(name))
        val mask = tasks.fold(0L) { sum, task -> sum or task.mask() }
        when {
            !worker.isUsable(nowMillis) -> "worker $name takes no tasks"
            mask and worker.freeMask.inv() != 0L -> "an accelerator of $name is in use"
            tasks.size.toLong() * shape.coresPerTask > worker.freeCores -> "no free cores on $name"
            tasks.size * shape.memoryMiBPerTask > worker.freeMemoryMiB -> "no free memory on $name"
            else -> null
        }
    }

private fun Transition.guaranteeProblem(job: JobRecord, action: ScheduleAction.Place): String? {
    val record = action.guarantee?.let { state.guarantees.entries[it] }
    return when {
        action.guarantee == null -> null
        record == null || record.claimedBy != null -> "the guarantee is not free"
        action.guarantee.account != job.account -> "the guarantee belongs to another account"
        !job.spec.shape.isCoveredBy(record.shape) -> "the job is not covered by the guarantee"
        overlapsOthers(action.guarantee, record.shape, action.placement) -> "the placement overlaps another guarantee"
        else -> null
    }
}

/** True when the guaranteed [shape] at its new [placement] would use capacity of the other guarantees. */
private fun Transition.overlapsOthers(id: GuaranteeId, shape: Shape, placement: GangPlacement): Boolean {
    val capacity = RemainingCapacity(state.workers, nowMillis)
    state.guarantees.entries.forEach { (key, value) -> if (key != id) capacity.allocate(value.shape, value.placement) }
    return !capacity.fits(shape, placement)
}

private fun Transition.preempt(action: ScheduleAction.Preempt): String? {
    val job = job(action.jobId)
    return when {
        job == null || !job.isActive || job.phase == JobPhase.STOPPING -> "job ${action.jobId} is not running"
        state.isGuaranteed(job) -> "job ${action.jobId} runs under a guarantee"
        else -> {
            val stop = StopDecision(StopCause.PREEMPTED, action.graceMillis, action.reason, action.forJobId)
            beginStop(job.jobId, stop)
            null
        }
    }
}

private fun Transition.refuse(action: ScheduleAction.Refuse): String? {
    val job = job(action.jobId)?.takeIf { it.phase == JobPhase.QUEUED }
        ?: return "job ${action.jobId} is not queued"
    val outcome = if (job.started) {
        Outcome.Failed(ErrorCode.IMPOSSIBLE_SHAPE, action.reason)
    } else {
        Outcome.Refused(ErrorCode.IMPOSSIBLE_SHAPE, action.reason)
    }
    endJob(job, outcome, action.reason)
    return null
}

private fun Transition.wait(action: ScheduleAction.Wait): String? {
    val job = job(action.jobId)?.takeIf { it.phase == JobPhase.QUEUED }
        ?: return "job ${action.jobId} is not queued"
    putJob(job.copy(reason = action.reason))
    recordDecision(DecisionKind.WAITS, action.reason, DecisionSubject(job.jobId, job.account))
    return null
}
