package org.auburnlever.ledger

import org.auburnlever.world.WorkerName

/** Returns the guaranteed shape that [job] had claimed to the plan, at the place where the job ran. */
internal fun Transition.releaseGuarantee(job: JobRecord) {
    val id = job.guarantee
    val record = id?.let { state.guarantees.entries[it] }
    if (id != null && record?.claimedBy == job.jobId) {
        val usable = record.placement?.let { state.isPlannable(it) } == true
        val kept = record.placement.takeIf { usable }
        putGuarantee(id, GuaranteeRecord(record.shape, kept), stale = state.guarantees.stale || !usable)
    }
}

/** True when every worker of [placement] exists, takes gangs and has the accelerators. */
internal fun LedgerState.isPlannable(placement: GangPlacement): Boolean = placement.tasks.all { task ->
    val worker = workers[task.worker]
    worker != null && worker.isUsable(timeMillis) && worker.suspension == null &&
        task.mask() and worker.allMask.inv() == 0L
}

/** Drops the planned places on [worker], which can't take tasks now, and asks for a new plan. */
internal fun Transition.dropPlannedPlacements(worker: WorkerName) {
    state.guarantees.entries.forEach { (id, record) ->
        val affected = record.claimedBy == null && record.placement?.tasks.orEmpty().any { it.worker == worker }
        if (affected) putGuarantee(id, record.copy(placement = null), stale = true)
    }
}

/** Asks for a new plan if a guaranteed shape has no place. */
internal fun Transition.requestReplanIfUnplaced() {
    val plan = state.guarantees
    if (!plan.stale && plan.entries.values.any { it.placement == null }) {
        state = state.copy(guarantees = plan.copy(stale = true))
    }
}
