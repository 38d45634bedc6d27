package org.auburnlever.workload.interference

import org.auburnlever.workload.WorkloadLimits
import org.auburnlever.workload.runs.RunView
import org.auburnlever.workload.state.JobPhase
import org.auburnlever.workload.state.StepSpec
import org.auburnlever.workload.state.TaskPhase
import org.auburnlever.workload.state.TaskRun
import org.auburnlever.workload.state.WorkloadState

/** What the leader knows of tasks that slow each other down, and what it has ordered; lost with the leadership. */
internal data class Interference(val evidence: InterferenceEvidence, val control: PaceControl) {
    constructor(limits: WorkloadLimits) : this(InterferenceEvidence(), PaceControl(limits))

    /** Returns the evidence for placement at [nowMillis], given the [runs] of [state]. */
    fun neighbours(state: WorkloadState, runs: Map<TaskRun, RunView>, nowMillis: Long): NeighbourEvidence {
        if (evidence.beside.isEmpty()) return NeighbourEvidence.NONE
        val steps by lazy(LazyThreadSafetyMode.NONE) {
            runs.entries.groupBy({ it.value.worker.id }, { state.stepOf(it.key) })
                .mapValues { (_, steps) -> steps.filterNotNull().filter { it.image.isNotEmpty() }.toSet() }
        }
        val harm = HashMap<ImagePair, Int>()
        return NeighbourEvidence { step, workerId ->
            if (step.image.isEmpty()) return@NeighbourEvidence 0
            steps[workerId].orEmpty().filter { it.usesSpareCores != step.usesSpareCores }.maxOfOrNull { other ->
                val (served, spare) = if (step.usesSpareCores) other to step else step to other
                val pair = ImagePair(served.image, spare.image)
                harm.getOrPut(pair) { evidence.harmPercent(pair.image, pair.neighbour, nowMillis) }
            } ?: 0
        }
    }
}

/** Returns the step of [run], or null if the run is not its task's current one. */
internal fun WorkloadState.stepOf(run: TaskRun): StepSpec? {
    val job = jobs[run.task.job]?.takeIf { it.phase == JobPhase.ACTIVE }
    val task = job?.task(run.task)
    val current = task?.phase == TaskPhase.ASSIGNED && task.run == run.run
    return if (current) job?.spec?.steps?.getOrNull(run.task.step) else null
}
