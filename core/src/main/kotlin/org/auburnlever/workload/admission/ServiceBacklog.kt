package org.auburnlever.workload.admission

import org.auburnlever.model.ServiceName
import org.auburnlever.workload.planning.JobStanding
import org.auburnlever.workload.planning.PlanningInput
import org.auburnlever.workload.planning.WorkPlan
import org.auburnlever.workload.planning.standing
import org.auburnlever.workload.planning.waitingSteps
import org.auburnlever.workload.runs.WorkerView
import org.auburnlever.workload.state.JobPhase
import org.auburnlever.workload.state.Resources
import org.auburnlever.workload.state.StepSpec

/**
 * The work that a plan left waiting for the workers of one service.
 *
 * @property workerCount number of workers that have not announced that they leave
 * @property largestWorker capacity of the largest of them
 * @property waitingWorkerMillis waiting work by priority, as the time for which it would occupy one whole worker
 */
internal data class ServiceBacklog(
    val workerCount: Int,
    val largestWorker: Resources,
    val waitingWorkerMillis: Map<Int, Long>,
) {
    /** Returns the shortest time in which all waiting work of [priority] or before it could start. */
    fun waitMillis(priority: Int): Long {
        val ahead = waitingWorkerMillis.filterKeys { it <= priority }.values.sum()
        return ahead / maxOf(workerCount, 1)
    }

    /** Returns for how long [taskCount] tasks of [step] would occupy one whole worker. */
    fun workerMillis(step: StepSpec, taskCount: Int = step.taskCount): Long =
        largestWorker.occupiedMillis(step, taskCount)
}

/**
 * Returns the backlog of each service once [plan] is carried out.
 *
 * All [knownWorkers] count that don't leave, since those that are silent or suspended for a moment will work again.
 * Work whose answer is of no use any more is not counted, since it runs after all other work.
 */
internal fun backlogAfter(
    plan: WorkPlan,
    input: PlanningInput,
    knownWorkers: Collection<WorkerView>,
    nowMillis: Long,
): Map<ServiceName, ServiceBacklog> {
    val placed = plan.assignments.groupBy({ it.step }, { it.workers.keys }).mapValues { it.value.flatten().toSet() }
    val waiting = input.jobs.filter { it.phase == JobPhase.ACTIVE }.flatMap { it.waitingSteps(nowMillis) }
        .filter { it.standing(nowMillis, input.durations) != JobStanding.OVERDUE }
        .groupBy { it.job.service }
    val reports = knownWorkers.filterNot { it.departed }
        .mapNotNull { it.report }
        .filterNot { it.draining }
        .groupBy { it.service }
    return reports.mapValues { (service, ofService) ->
        val largest = ofService.maxByOrNull { it.capacity.weightMilliCores }?.capacity ?: Resources.NONE
        val byPriority = waiting[service].orEmpty().groupBy({ it.priority }) { step ->
            val tasks = step.tasks.count { it !in placed[step.id].orEmpty() }
            val forecastMillis = input.durations.taskMillis(step.job, step.id.step)
            largest.occupiedMillis(step.spec.copy(estimatedMillis = forecastMillis), tasks)
        }
        ServiceBacklog(ofService.size, largest, byPriority.mapValues { it.value.sum() })
    }
}

internal fun Resources.occupiedMillis(step: StepSpec, taskCount: Int): Long =
    (taskCount * step.estimatedMillis * shareOf(step.reserved)).toLong()

/** Returns the part of this amount that [need] takes of the resource of which it takes most, at most 1. */
private fun Resources.shareOf(need: Resources): Double = maxOf(
    part(need.milliCores, milliCores),
    part(need.memoryMiB, memoryMiB),
    part(need.accelerators.toLong(), accelerators.toLong()),
).coerceAtMost(1.0)

private fun part(need: Long, have: Long): Double = if (need <= 0) 0.0 else need.toDouble() / maxOf(have, 1)
