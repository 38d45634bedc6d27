package org.auburnlever.workload.evacuation

import org.auburnlever.workload.planning.PlanningInput
import org.auburnlever.workload.planning.WorkPlan
import org.auburnlever.workload.runs.LeaderState
import org.auburnlever.workload.runs.StopReason
import org.auburnlever.workload.runs.stop
import org.auburnlever.workload.state.WorkloadState

/** Stops the runs that [EvacuationMoves] moves after [plan], and repeats stops that were not answered. */
internal fun LeaderState.moveEvacuatedRuns(
    state: WorkloadState,
    input: PlanningInput,
    plan: WorkPlan,
    nowMillis: Long,
) {
    if (state.evacuations.isEmpty()) return
    // The stop of a worker that does not answer has no effect; its runs are moved once it answers or its lease ends.
    val evacuated = workers.values
        .filter { state.forbidsStartsOn(it) && it.report != null && it.failedCalls == 0 && it.failedPolls == 0 }
        .map { it.ref.id }.toSet()
    runs.filterValues { it.worker.id in evacuated && it.stopSentMillis != null && it.stopAnsweredMillis == null }
        .forEach { (run, view) -> stop(run, view, StopReason.Evacuation, nowMillis) }
    EvacuationMoves(input, plan, evacuated, nowMillis).find().forEach { move ->
        move.runs.forEach { run ->
            logDecision("evacuation_move", run.toString(), "worker" to runs[run]?.worker?.id, "kind" to move.kind)
            runs[run]?.let { stop(run, it, StopReason.Evacuation, nowMillis) }
        }
    }
}

/** Logs for each evacuated failure domain what still runs there. */
internal fun LeaderState.logEvacuations(state: WorkloadState, nowMillis: Long) =
    state.evacuations.forEach { (domain, startMillis) ->
        val ids = workers.values.filter { it.report?.failureDomain == domain }.map { it.ref.id }.toSet()
        val left = runs.values.filter { it.worker.id in ids }
        logDecision(
            "evacuation",
            "$domain",
            "forMillis" to nowMillis - startMillis,
            "workers" to ids.size,
            "runs" to left.size,
            "stopping" to left.count { it.stopSentMillis != null },
            "limitMillis" to limits.evacuationMillis,
        )
    }
