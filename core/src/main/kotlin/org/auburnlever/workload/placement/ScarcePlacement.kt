package org.auburnlever.workload.placement

import org.auburnlever.workload.SchedulingFeature
import org.auburnlever.workload.planning.FleetCapacity
import org.auburnlever.workload.planning.JobStanding
import org.auburnlever.workload.planning.PlanningInput
import org.auburnlever.workload.planning.WaitingStep
import org.auburnlever.workload.planning.WorkerCapacity
import org.auburnlever.workload.planning.fits
import org.auburnlever.workload.planning.maxTasksOf
import java.util.PriorityQueue

/**
 * Places the tasks of steps so that the rest of the fleet stays of use for the work that is likely to come.
 *
 * Load pattern: the accelerators of a fleet that is in use to three quarters are free in pieces that no waiting step
 * can use. See `docs/design/placement.md`.
 */
internal class ScarcePlacement(private val fleet: FleetCapacity, private val score: PlacementScore) {
    private class Candidate(val worker: WorkerCapacity, val order: Int, var room: Int, var score: Double)

    private val bestFirst = compareBy<Candidate>({ it.score }, { it.worker.free.accelerators }, { it.order })

    /** The workers of the tasks of a step, and the sum of their scores. */
    class Choice(val workers: List<WorkerCapacity>, val score: Double)

    /**
     * Places the tasks of [step] other than those that run alone on [candidates], each on the worker with the best
     * score after the earlier ones, allocates their resources and returns the workers in the order of the tasks.
     *
     * Fewer workers than tasks are returned if there is no more room.
     */
    fun place(step: WaitingStep, candidates: List<WorkerCapacity>): Choice {
        val haste = score.haste(step)
        val queue = PriorityQueue(bestFirst)
        candidates.forEachIndexed { index, worker ->
            val room = worker.maxTasksOf(step)
            if (room > 0) queue += Candidate(worker, index, room, score.of(step, worker, haste))
        }
        val chosen = ArrayList<WorkerCapacity>()
        var total = 0.0
        while (chosen.size < step.tasks.size - step.alone.size) {
            val best = queue.poll() ?: break
            best.worker.allocate(step.spec.reserved)
            chosen += best.worker
            total += best.score
            best.room -= 1
            if (best.room > 0) {
                best.score = score.of(step, best.worker, haste)
                queue += best
            }
        }
        return Choice(chosen, total + unevenSpeed(step, chosen))
    }

    /**
     * Returns the set of [candidateSets] on which all tasks of [step] fit at the best score, or null if there is none.
     *
     * Workers of like speed within a set count as further sets for a gang, since it is as slow as its slowest member.
     */
    fun bestSet(step: WaitingStep, candidateSets: List<List<WorkerCapacity>>): List<WorkerCapacity>? {
        val fitting = candidateSets.filter { fits(step, it) }
        val alternatives = if (step.spec.gang) fitting.flatMap { bySpeed(it) }.filter { fits(step, it) } else fitting
        return if (alternatives.size <= 1) {
            alternatives.firstOrNull()
        } else {
            alternatives.minByOrNull { set -> fleet.trial { place(step, set).score } }
        }
    }

    /** Returns the set of [candidateSets] that holds most tasks of [step], the one at the best score if several do. */
    fun fullestSet(step: WaitingStep, candidateSets: List<List<WorkerCapacity>>): List<WorkerCapacity>? =
        candidateSets.map { set -> set to fleet.trial { place(step, set) } }
            .minWithOrNull(compareBy({ (_, choice) -> -choice.workers.size }, { (_, choice) -> choice.score }))
            ?.first

    /**
     * Returns whether [step], which fits into none of [candidateSets] now, waits until it fits into one of these racks.
     *
     * Load pattern: under a burst no rack has room for all tasks of a step that takes three times as long on several
     * racks. Spread, it would miss its objective and occupy its workers three times as long, so that the next steps
     * find no rack either. It waits as long as its answer is of use; a long-running step, which has to be back within
     * seconds, does not wait.
     */
    fun waitsForRack(step: WaitingStep, candidateSets: List<List<WorkerCapacity>>): Boolean =
        step.spec.rackSensitive && step.tasks.size > 1 && !step.spec.longRunning &&
            candidateSets.all { set -> set.isNotEmpty() && set.all { it.report.rack == set.first().report.rack } } &&
            score.standing(step) != JobStanding.OVERDUE

    private fun bySpeed(workers: List<WorkerCapacity>): List<List<WorkerCapacity>> {
        val classes = workers.groupBy { score.speedPercent(it) / SPEED_CLASS_PERCENT }
        return if (classes.size == 1) listOf(workers) else classes.values + listOf(workers)
    }

    /** Resources that the faster members of a gang can't make use of, in milli-cores. */
    private fun unevenSpeed(step: WaitingStep, workers: List<WorkerCapacity>): Double {
        if (!step.spec.gang || workers.isEmpty()) return 0.0
        val slowest = maxOf(1, workers.minOf { score.speedPercent(it) })
        val lost = workers.sumOf { score.speedPercent(it) - slowest }.toDouble() / slowest
        return lost * step.spec.reserved.weightMilliCores
    }

    companion object {
        /** Returns the placement for a plan from [input]; null if the deployment does not use it. */
        fun of(fleet: FleetCapacity, input: PlanningInput, nowMillis: Long): ScarcePlacement? =
            if (SchedulingFeature.SCARCE_PLACEMENT in input.features) {
                ScarcePlacement(fleet, PlacementScore(input, nowMillis))
            } else {
                null
            }

        /** Speeds that differ by less are alike; learned speeds are known to a few percent at best. */
        private const val SPEED_CLASS_PERCENT = 10
    }
}
