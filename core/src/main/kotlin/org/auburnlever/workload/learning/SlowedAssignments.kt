package org.auburnlever.workload.learning

import org.auburnlever.workload.state.Assignment
import org.auburnlever.workload.state.WorkloadState

/**
 * Marks the assignments whose tasks run slowly because of their racks: away from their data rack, or rack-sensitive and
 * on several racks together with the tasks of the step that run already.
 *
 * The replicated state does not know racks, so the leader marks them; [rackOf] returns the rack of a worker.
 */
internal fun List<Assignment>.markSlowed(state: WorkloadState, rackOf: (String) -> String?): List<Assignment> =
    map { assignment ->
        val job = state.jobs[assignment.step.job]
        val spec = job?.spec?.steps?.getOrNull(assignment.step.step)
        val newRacks = assignment.workers.values.map { rackOf(it.id) }
        val slowed = when {
            spec == null -> false
            spec.dataRack != null && newRacks.any { it != spec.dataRack } -> true
            spec.rackSensitive && spec.taskCount > 1 -> {
                val running = job.step(assignment.step)?.tasks.orEmpty().mapNotNull { it.worker?.id }.map(rackOf)
                (newRacks + running).distinct().size > 1
            }
            else -> false
        }
        if (slowed) assignment.copy(slowed = true) else assignment
    }
