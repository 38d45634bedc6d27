package org.auburnlever.workload.runs

import org.auburnlever.workload.state.EndKind
import org.auburnlever.workload.state.RunEnd
import org.auburnlever.workload.state.TaskRun
import org.auburnlever.workload.state.WorkerRef
import org.auburnlever.workload.state.WorkloadState

/**
 * Returns the assigned [runs] without those whose worker is [forbidden], which are recorded as lost and never sent.
 *
 * A gang with a member on such a worker is withheld as a whole, as its other members could do nothing. Each withheld
 * run is logged as [event], with [details] of its worker.
 */
internal fun LeaderState.withhold(
    state: WorkloadState,
    runs: List<TaskRun>,
    event: String,
    forbidden: (WorkerRef) -> Boolean,
    details: (WorkerRef?) -> Pair<String, Any?>,
): List<TaskRun> {
    val barred = runs.filter { run -> state.task(run.task)?.worker?.let(forbidden) ?: false }.toSet()
    val brokenGangs = barred.map { it.task.stepId }.filter { id ->
        state.jobs[id.job]?.spec?.steps?.get(id.step)?.gang ?: false
    }.toSet()
    val (withheld, allowed) = runs.partition { it in barred || it.task.stepId in brokenGangs }
    withheld.forEach { run ->
        val worker = state.task(run.task)?.worker
        logDecision(event, run.toString(), "worker" to worker?.id, details(worker))
    }
    if (withheld.isNotEmpty()) recordEnds(withheld.map { RunEnd(it, EndKind.LOST, checkpoint = "", unseen = true) })
    return allowed
}

/**
 * Returns those of the assigned [runs] whose worker is still the incarnation that they were assigned to.
 *
 * It may have restarted between the plan and the commit. The clock of the later incarnation is not known before it has
 * answered, and without it a start would be granted the worker's longest lease, which a next leader does not wait for.
 */
internal fun LeaderState.withholdFromRestarted(state: WorkloadState, runs: List<TaskRun>): List<TaskRun> = withhold(
    state,
    runs,
    "start_withheld",
    forbidden = { ref -> workers[ref.id]?.let { it.ref != ref || !it.clock.isKnown } ?: true },
    details = { ref -> "knownBornMillis" to workers[ref?.id]?.ref?.startMillis },
)
