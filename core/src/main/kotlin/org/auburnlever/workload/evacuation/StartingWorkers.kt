package org.auburnlever.workload.evacuation

import org.auburnlever.workload.planning.RunProgress
import org.auburnlever.workload.runs.LeaderState
import org.auburnlever.workload.runs.WorkerView
import org.auburnlever.workload.runs.withhold
import org.auburnlever.workload.state.TaskRun
import org.auburnlever.workload.state.WorkloadState

/**
 * Returns whether no task may start on [worker] because its failure domain is evacuated.
 *
 * While any evacuation is in force, this includes workers whose failure domain this leader does not know yet.
 */
internal fun WorkloadState.forbidsStartsOn(worker: WorkerView?): Boolean {
    val domain = worker?.report?.failureDomain
    return evacuations.isNotEmpty() && (domain == null || domain in evacuations)
}

/** Returns the ids of the workers on which no task may start because of an evacuation. */
internal fun LeaderState.evacuatedWorkers(state: WorkloadState): Set<String> =
    workers.values.filter { state.forbidsStartsOn(it) }.map { it.ref.id }.toSet()

/** Returns the runs' newest progress, as plans take it. */
internal fun LeaderState.progress(): Map<TaskRun, RunProgress> =
    runs.mapValues { (_, view) -> RunProgress(view.percent, view.progressMillis) }

/**
 * Returns the workers that a plan may use: those that may get new work and whose failure domain is not evacuated.
 *
 * The capacity of workers that return from an evacuation is limited while they warm up.
 */
internal fun LeaderState.startingWorkers(
    state: WorkloadState,
    progress: Map<TaskRun, RunProgress>,
    nowMillis: Long,
): List<WorkerView> {
    // Before a worker has shown its clock, no lease can be computed for it.
    val usable = workers.values.filter {
        it.clock.isKnown && it.usable(nowMillis, limits.reportLimitMillis) && !state.forbidsStartsOn(it)
    }
    return WorkerWarmUp(state, progress, nowMillis).limit(usable)
}

/**
 * Returns those of the assigned [runs] that may start, and records the others as lost, since they were never sent.
 *
 * An evacuation may be committed between the plan and its assignments, or between these and their starts. A gang with a
 * member in an evacuated failure domain is withheld as a whole, as its other members could do nothing.
 */
internal fun LeaderState.withholdEvacuated(state: WorkloadState, runs: List<TaskRun>): List<TaskRun> {
    if (state.evacuations.isEmpty()) return runs
    return withhold(
        state,
        runs,
        "evacuation_withheld",
        forbidden = { state.forbidsStartsOn(workers[it.id]) },
        details = { ref -> "failureDomain" to "${ref?.let { workers[it.id]?.report?.failureDomain }}" },
    )
}
