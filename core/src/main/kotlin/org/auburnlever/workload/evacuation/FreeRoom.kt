package org.auburnlever.workload.evacuation

import org.auburnlever.workload.planning.FleetCapacity
import org.auburnlever.workload.planning.JobStanding
import org.auburnlever.workload.planning.PlanningInput
import org.auburnlever.workload.planning.WaitingStep
import org.auburnlever.workload.planning.WorkPlan
import org.auburnlever.workload.planning.WorkerCapacity
import org.auburnlever.workload.planning.needOf
import org.auburnlever.workload.planning.place
import org.auburnlever.workload.planning.standing
import org.auburnlever.workload.planning.waitingSteps
import org.auburnlever.workload.state.JobPhase

/** The room outside the evacuated failure domains that [plan] leaves free; each move takes a part of it. */
internal class FreeRoom(
    private val input: PlanningInput,
    private val plan: WorkPlan,
    private val nowMillis: Long,
) {
    private val fleet = freeAfterPlan()

    /** Priority of the most important work that the plan left waiting; null if it left none. */
    private val waitingPriority: Int? = mostImportantWaiting()

    /** Takes room for [unit] and returns true, if there is room that no waiting work has a better claim to. */
    fun take(unit: RunningUnit): Boolean {
        val claimed = waitingPriority != null && waitingPriority <= unit.job.policy.priority
        if (claimed) return false
        val step = WaitingStep(unit.job, unit.stepId, unit.step, unit.tasks.map { (id, _) -> id.index })
        val candidates = candidatesFor(unit).firstOrNull { fleet.trial { moves(unit, step, it) } }
        return candidates != null && moves(unit, step, candidates)
    }

    private fun moves(unit: RunningUnit, step: WaitingStep, candidates: List<WorkerCapacity>): Boolean {
        unit.tasks.forEach { (id, task) ->
            task.worker?.let { fleet.worker(it.id) }?.release(unit.job.needOf(id))
        }
        return place(step, candidates).size == step.tasks.size
    }

    /** Returns the sets of workers on which the unit would run as fast as before. */
    private fun candidatesFor(unit: RunningUnit): List<List<WorkerCapacity>> {
        val pool = fleet.pool(unit.job.service, unit.step.constraint, except = emptySet())
        val dataRack = unit.step.dataRack
        return when {
            unit.step.longRunning -> listOf(pool.workers)
            dataRack != null -> listOfNotNull(pool.racks[dataRack])
            unit.step.rackSensitive && unit.tasks.size > 1 -> pool.racks.values.toList()
            else -> listOf(pool.workers)
        }
    }

    private fun freeAfterPlan(): FleetCapacity {
        val fleet = FleetCapacity.of(input.workers, input.jobs, nowMillis)
        val jobs = input.jobs.associateBy { it.id }
        plan.assignments.forEach { assignment ->
            val need = jobs[assignment.step.job]?.spec?.steps?.get(assignment.step.step)?.reserved
            assignment.workers.values.forEach { ref -> need?.let { fleet.worker(ref.id)?.allocate(it) } }
        }
        return fleet
    }

    private fun mostImportantWaiting(): Int? {
        val placed = plan.assignments.groupBy({ it.step }, { it.workers.keys })
            .mapValues { (_, tasks) -> tasks.flatten().toSet() }
        return input.jobs.filter { it.phase == JobPhase.ACTIVE }
            .flatMap { it.waitingSteps(nowMillis) }
            .filter { step -> step.standing(nowMillis, input.durations) != JobStanding.OVERDUE }
            .filter { step -> step.tasks.any { it !in placed[step.id].orEmpty() } }
            .minOfOrNull { it.priority }
    }
}
