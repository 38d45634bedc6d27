package org.auburnlever.workload.preemption

import org.auburnlever.workload.planning.StopCost
import org.auburnlever.workload.state.JobRecord
import org.auburnlever.workload.state.StepId
import org.auburnlever.workload.state.StepSpec
import org.auburnlever.workload.state.TaskId
import org.auburnlever.workload.state.TaskRecord

/** Computes what stopping the runs of a unit costs its caller and the fleet. */
internal class StopLosses(private val worth: CallerWorth, private val nowMillis: Long) {
    /**
     * Returns the cost of stopping [tasks] of [job], which run for another [remainingMillis].
     *
     * A task with checkpoints loses what it did since the last one. A job that only misses its objective because of the
     * stop loses its caller the difference to a late answer. Each further stop of a step costs more, so that no job is
     * stopped again and again while others run through.
     */
    fun of(job: JobRecord, tasks: List<Pair<TaskId, TaskRecord>>, remainingMillis: Long): StopCost {
        val stepId = tasks.first().first.stepId
        val step = job.spec.steps[stepId.step]
        val weight = step.reserved.weightMilliCores
        val lostMillis = tasks.sumOf { (_, task) -> step.lostMillis(task) }
        val restartMillis = tasks.size * RESTART_MILLIS
        val earlierRuns = tasks.maxOf { (_, task) -> task.run } - 1
        val repeatedMillis = tasks.maxOf { (_, task) -> step.lostMillis(task) } + AWAY_MILLIS
        val work = (lostMillis + restartMillis) * weight * (1 + earlierRuns)
        val ofCaller = if (job.becomesLate(stepId, remainingMillis, repeatedMillis)) {
            (worth.lossIfLate(job) * CallerWorth.WORK_FOR_WORTH).toLong()
        } else {
            0
        }
        return StopCost(lostMilliCoreMillis = lostMillis * weight, totalMilliCoreMillis = work + ofCaller + 1)
    }

    private fun StepSpec.lostMillis(task: TaskRecord): Long {
        val ranMillis = maxOf(0, nowMillis - task.assignedMillis)
        return when {
            longRunning -> 0
            checkpointing -> minOf(ranMillis, LOST_WITH_CHECKPOINTS_MILLIS)
            else -> ranMillis
        }
    }

    private fun JobRecord.becomesLate(step: StepId, remainingMillis: Long, repeatedMillis: Long): Boolean {
        val objectiveMillis = objectiveMillis(step.occurrence)
        val endMillis = nowMillis + remainingMillis
        return endMillis in (objectiveMillis - repeatedMillis + 1)..objectiveMillis
    }

    private companion object {
        /** A start from a checkpoint takes 100 to 600 ms; the worker does no other work meanwhile. */
        const val RESTART_MILLIS = 500L

        /** Time from a stop until the runs are likely to work again, after the urgent work that takes their place. */
        const val AWAY_MILLIS = 3_000L
    }
}

/** Mean work since the last checkpoint; tasks save one after each second of work. */
internal const val LOST_WITH_CHECKPOINTS_MILLIS = 500L
