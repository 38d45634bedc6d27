package org.auburnlever.workload.runs

import org.auburnlever.workload.ProposalTag
import org.auburnlever.workload.state.JobPhase
import org.auburnlever.workload.state.JobRecord
import org.auburnlever.workload.state.StepId
import org.auburnlever.workload.state.TaskPhase
import org.auburnlever.workload.state.TaskRun
import org.auburnlever.workload.state.WorkerRef
import org.auburnlever.workload.state.WorkloadState

/** Forgets runs that are no longer assigned. */
internal fun LeaderState.forgetEndedRuns(state: WorkloadState) {
    if (state.jobs === checkedJobs) return
    checkedJobs = state.jobs
    val current = state.jobs.values.flatMap { it.assigned() }.map { (id, task) -> TaskRun(id, task.run) }.toSet()
    keepRuns { it in current }
}

/** Adopts assigned runs that this leader does not know yet. */
internal fun LeaderState.adoptRuns(state: WorkloadState, nowMillis: Long) {
    if (state.jobs === adoptedFrom) return
    adoptedFrom = state.jobs
    for ((id, task) in state.jobs.values.flatMap { it.assigned() }) {
        val run = TaskRun(id, task.run)
        val ref = task.worker
        if (ref != null && run !in runs && run !in proposedEnds) {
            put(run, RunView(ref, answeredMillis = 0, startedMillis = task.assignedMillis, adopted = true))
            adoptWorker(ref, nowMillis)
        }
    }
}

internal fun LeaderState.adoptWorker(ref: WorkerRef, nowMillis: Long) {
    if (ref.id !in workers) put(freshView(ref, nowMillis))
}

/** Stops the runs of ended jobs and of gangs that have lost a member. */
internal fun LeaderState.stopUnwantedRuns(state: WorkloadState, nowMillis: Long) {
    runs.forEach { (run, view) ->
        val job = state.jobs[run.task.job]
        val reason = when {
            job == null || job.phase != JobPhase.ACTIVE -> StopReason.JobEnded(job?.phase)
            job.hasIncompleteGang(run.task.stepId) -> StopReason.GangIncomplete
            else -> null
        }
        if (reason != null) stop(run, view, reason, nowMillis)
    }
}

private fun JobRecord.hasIncompleteGang(id: StepId): Boolean {
    val record = step(id) ?: return false
    return spec.steps[id.step].gang &&
        record.tasks.any { it.phase == TaskPhase.ASSIGNED } && record.tasks.any { it.phase == TaskPhase.WAITING }
}

/** Handles that the ends of a proposal are recorded; the next poll acknowledges them to their worker. */
internal fun LeaderState.handleEndsRecorded(state: WorkloadState, tag: ProposalTag.Ends, endedJobs: List<String>) {
    clearProposedEnds(tag.runs)
    endedJobs.mapNotNull { state.jobs[it] }
        .forEach { logDecision("job_ended", it.id, "phase" to it.phase, "queue" to it.queue, "account" to it.account) }
    val view = tag.worker?.let { viewOf(it) } ?: return
    // An acknowledgement covers all ends up to a number, also those of an earlier proposal that failed.
    val through = if (view.acknowledgedEnd >= tag.afterEnd) tag.throughEnd else 0
    put(view.copy(acknowledgedEnd = maxOf(view.acknowledgedEnd, through), endsInFlight = 0))
}

/** Handles that the ends of a proposal are not recorded; the next poll lists them again. */
internal fun LeaderState.handleEndsNotRecorded(tag: ProposalTag.Ends) {
    clearProposedEnds(tag.runs)
    val view = tag.worker?.let { viewOf(it) } ?: return
    put(view.copy(endsInFlight = 0))
}

/**
 * Logs runs that were missing or ordered to stop by [unresolvedSinceMillis] and have not ended since.
 *
 * The entries explain why a job makes no progress.
 */
internal fun LeaderState.logUnresolvedRuns(unresolvedSinceMillis: Long, nowMillis: Long) {
    val unsettled = runs.filterValues { view ->
        listOf(view.missingSinceMillis, view.stoppingSinceMillis).any { it != null && it <= unresolvedSinceMillis }
    }
    unsettled.forEach { (run, view) ->
        val worker = workers[view.worker.id]
        logDecision(
            "run_unsettled",
            run.toString(),
            "worker" to view.worker.id,
            "missingForMillis" to view.missingSinceMillis?.let { nowMillis - it },
            "stoppingForMillis" to view.stoppingSinceMillis?.let { nowMillis - it },
            "stopAnsweredAgoMillis" to view.stopAnsweredMillis?.let { nowMillis - it },
            "failedCalls" to worker?.failedCalls,
            "failedPolls" to worker?.failedPolls,
            "replaced" to worker?.replaced,
            "leaseLeftMillis" to worker?.let { it.leaseEndMillis - nowMillis },
        )
    }
    if (proposedEnds.isNotEmpty()) {
        logDecision("ends_unrecorded", "${proposedEnds.size}", "first" to proposedEnds.first())
    }
}
