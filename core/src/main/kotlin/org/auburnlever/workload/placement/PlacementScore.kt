package org.auburnlever.workload.placement

import org.auburnlever.model.DomainName
import org.auburnlever.workload.interference.NeighbourEvidence
import org.auburnlever.workload.learning.DurationForecast
import org.auburnlever.workload.planning.JobStanding
import org.auburnlever.workload.planning.PlanningInput
import org.auburnlever.workload.planning.WaitingStep
import org.auburnlever.workload.planning.WorkerCapacity
import org.auburnlever.workload.planning.standing

/**
 * Scores workers for a task; the lowest score is the best.
 *
 * All parts of a score are in milli-cores, an accelerator counting as much as in [org.auburnlever.workload.state]: the
 * resources that the placement makes useless for the demanded kinds of tasks, and what the task or others lose on this
 * worker by its speed, its neighbours or its failure domain.
 *
 * @property leavingPercent share of the workers of each failure domain that are leaving
 */
internal class PlacementScore(
    private val demand: PlacementDemand,
    private val durations: DurationForecast,
    private val neighbours: NeighbourEvidence,
    private val leavingPercent: Map<DomainName, Int>,
    private val nowMillis: Long,
) {
    constructor(input: PlanningInput, nowMillis: Long) : this(
        PlacementDemand.of(input.jobs, nowMillis),
        input.durations,
        input.neighbours,
        input.leavingPercent,
        nowMillis,
    )

    /** Returns the score of [worker] for one more task of [step]; [haste] is that of the step. */
    fun of(step: WaitingStep, worker: WorkerCapacity, haste: Double): Double {
        val need = step.spec.reserved
        val before = demand.strandedMilliCores(worker.free)
        val after = demand.strandedMilliCores(worker.free - need)
        val weight = need.weightMilliCores
        return after - before - haste * weight * speedGain(worker) + weight * leavingShare(step, worker) +
            neighbourPenalty(step, worker)
    }

    /**
     * Returns from -1 to 1 how much the step gains from a fast worker: 1 if it has no time to spare, -1 if it could
     * wait for as long as it takes to run.
     */
    fun haste(step: WaitingStep): Double {
        val taskMillis = maxOf(1, durations.taskMillis(step.job, step.id.step))
        val slackMillis = step.job.objectiveMillis(step.id.occurrence) - nowMillis - taskMillis
        return (1 - 2.0 * slackMillis / taskMillis).coerceIn(-1.0, 1.0)
    }

    /** Returns how [step] would stand if it started now. */
    fun standing(step: WaitingStep): JobStanding = step.standing(nowMillis)

    /** Returns the speed of [worker] in percent of the typical one. */
    fun speedPercent(worker: WorkerCapacity): Int = durations.speedPercent(worker.ref.id)

    private fun speedGain(worker: WorkerCapacity): Double = (speedPercent(worker) - TYPICAL_PERCENT) / PERCENT

    /** Expected part of the task that is lost since the worker leaves too; a checkpoint saves most of it. */
    private fun leavingShare(step: WaitingStep, worker: WorkerCapacity): Double {
        val share = (leavingPercent[worker.report.failureDomain] ?: 0) / PERCENT
        return if (step.spec.checkpointing) share / CHECKPOINT_DIVISOR else share
    }

    /** A harmful neighbour outweighs all that a placement can strand, so that any other worker is preferred. */
    private fun neighbourPenalty(step: WaitingStep, worker: WorkerCapacity): Double {
        if (neighbours === NeighbourEvidence.NONE) return 0.0
        val harm = neighbours.harmPercent(step.spec, worker.ref.id)
        return if (harm <= 0) 0.0 else worker.report.capacity.weightMilliCores * (1 + harm / PERCENT)
    }

    private companion object {
        const val PERCENT = 100.0
        const val TYPICAL_PERCENT = 100

        /** A restart from a checkpoint costs about a quarter of what a task of a few seconds loses without one. */
        const val CHECKPOINT_DIVISOR = 4
    }
}
