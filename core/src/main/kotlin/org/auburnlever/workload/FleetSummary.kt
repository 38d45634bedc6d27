package org.auburnlever.workload

import org.auburnlever.workload.evacuation.progress
import org.auburnlever.workload.evacuation.startingWorkers
import org.auburnlever.workload.learning.DurationForecast
import org.auburnlever.workload.placement.Fragmentation
import org.auburnlever.workload.planning.FleetCapacity
import org.auburnlever.workload.planning.waitingSteps
import org.auburnlever.workload.runs.LeaderState
import org.auburnlever.workload.state.JobPhase
import org.auburnlever.workload.state.WorkloadState

/**
 * Logs the free capacity and the number of waiting jobs, and the jobs that have waited longest for their first task.
 *
 * Logs nothing while no job is active.
 */
internal fun LeaderState.logFleetSummary(
    state: WorkloadState,
    urgentReserve: Int,
    durations: DurationForecast,
    nowMillis: Long,
) {
    val jobs = state.jobs.values
    val usable = startingWorkers(state, progress(), nowMillis)
    val fleet = FleetCapacity.of(usable, jobs, nowMillis)
    val waiting = jobs.filter { it.phase == JobPhase.ACTIVE && !it.started }.sortedBy { it.acceptedMillis }
    if (jobs.none { it.phase == JobPhase.ACTIVE }) return
    val steps = jobs.filter { it.phase == JobPhase.ACTIVE }.flatMap { it.waitingSteps(nowMillis) }
    val fragmentation = Fragmentation.of(fleet.workers, steps)
    logDecision(
        "fleet",
        "${state.catalog?.version}",
        "workers" to workers.size,
        "usable" to usable.size,
        "freeAccelerators" to fragmentation.freeAccelerators,
        "strandedAccelerators" to fragmentation.stranded,
        "wholeWorkers" to fragmentation.wholeWorkers,
        "urgentReserve" to urgentReserve,
        "runs" to runs.size,
        "waitingJobs" to waiting.size,
    )
    waiting.take(MAX_LOGGED_WAITING_JOBS).forEach { job ->
        logDecision(
            "job_waiting",
            job.id,
            "queue" to job.queue,
            "priority" to job.policy.priority,
            "forMillis" to nowMillis - job.acceptedMillis,
            "tasks" to job.spec.steps.first().taskCount,
            "accelerators" to job.spec.steps.first().need.accelerators,
            "slackMillis" to durations.objectiveMillis(job) - nowMillis - durations.criticalPathMillis(job),
        )
    }
}

/** Bounds the lines of one summary while many jobs wait. */
private const val MAX_LOGGED_WAITING_JOBS = 10
