package org.auburnlever.ledger

import org.auburnlever.model.WorkerName

/** Ends the claim of [job]; its placement becomes the planned one of the guarantee if the workers are still usable. */
internal fun Transition.releaseGuarantee(job: JobRecord) {
    val id = job.guarantee
    val record = id?.let { state.guarantees.entries[it] }
    if (id != null && record?.claimedBy == job.jobId) {
        val usable = record.placement?.let { state.isPlannable(it) } == true
        val kept = record.placement.takeIf { usable }
        putGuarantee(id, GuaranteeRecord(record.shape, kept), stale = state.guarantees.stale || !usable)
    }
}

/** True when every worker of [placement] exists, accepts gangs and has the accelerators. */
internal fun LedgerState.isPlannable(placement: GangPlacement): Boolean = placement.tasks.all { task ->
    val worker = workers[task.worker]
    worker != null && worker.isUsable(timeMillis) && worker.suspension == null &&
        task.mask() and worker.allMask.inv() == 0L
}

/** Drops the planned placements on [worker], which changed or accepts no tasks, and then requests a new plan. */
internal fun Transition.dropPlannedPlacements(worker: WorkerName) {
    state.guarantees.entries.forEach { (id, record) ->
        val affected = record.claimedBy == null && record.placement?.tasks.orEmpty().any { it.worker == worker }
        if (affected) putGuarantee(id, record.copy(placement = null), stale = true)
    }
}

/** Requests a new plan if a guaranteed shape has no placement. */
internal fun Transition.requestReplanIfUnplaced() {
    val plan = state.guarantees
    if (!plan.stale && plan.entries.values.any { it.placement == null }) {
        state = state.copy(guarantees = plan.copy(stale = true))
    }
}
