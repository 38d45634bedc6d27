package org.auburnlever.workload.placement

import org.auburnlever.workload.planning.URGENT
import org.auburnlever.workload.planning.waitingSteps
import org.auburnlever.workload.state.JobPhase
import org.auburnlever.workload.state.JobRecord
import org.auburnlever.workload.state.Resources
import org.auburnlever.workload.state.StepSpec

/**
 * A kind of task that the fleet has to hold.
 *
 * @property need resources of one task
 * @property share part of the demand that is for tasks of this kind, from 0 to 1
 */
internal class TaskKind(val need: Resources, val share: Double)

/**
 * The kinds of tasks that wait or have arrived lately.
 *
 * Load pattern: tasks that need many cores and few accelerators, tasks that need single accelerators, and tasks that
 * need whole workers arrive all the time. Room that suits one kind is of no use to another, so the room that a
 * placement leaves is valued by what is likely to need it next.
 */
internal class PlacementDemand(val kinds: List<TaskKind>) {
    private val strandedByFree = HashMap<Resources, Double>()

    /**
     * Returns how much of the resources [free] of one worker a task of the demanded kinds can't use, as an expectation
     * over the kinds, in milli-cores.
     *
     * Many workers have the same amount free, so the results are cached.
     */
    fun strandedMilliCores(free: Resources): Double = strandedByFree.getOrPut(free) {
        val weight = maxOf(0, free.weightMilliCores)
        kinds.sumOf { kind ->
            val used = free.count(kind.need) * kind.need.weightMilliCores
            kind.share * maxOf(0, weight - used)
        }
    }

    companion object {
        /** Returns the demand of the steps of [jobs] that wait at [nowMillis] or arrived in the last few seconds. */
        fun of(jobs: Collection<JobRecord>, nowMillis: Long): PlacementDemand {
            val weights = HashMap<Resources, Long>()
            for (job in jobs) {
                if (nowMillis - job.acceptedMillis <= WINDOW_MILLIS) {
                    job.spec.steps.forEach { weights.add(job, it, it.taskCount) }
                } else if (job.phase == JobPhase.ACTIVE) {
                    job.waitingSteps(nowMillis).forEach { weights.add(job, it.spec, it.tasks.size) }
                }
            }
            val largest = weights.entries.sortedByDescending { it.value }.take(MAX_KINDS)
            val total = largest.sumOf { it.value }.toDouble()
            return PlacementDemand(largest.map { (need, weight) -> TaskKind(need, weight / total) })
        }

        private fun MutableMap<Resources, Long>.add(job: JobRecord, spec: StepSpec, tasks: Int) {
            val weight = spec.reserved.weightMilliCores
            val factor = if (job.policy.priority == URGENT) URGENT_FACTOR else 1
            if (weight > 0) merge(spec.reserved.rounded(), tasks * weight * factor, Long::plus)
        }

        /** Rounds cores and memory up, so that the jobs of one queue are of few kinds. */
        private fun Resources.rounded() = Resources(
            (milliCores + CORE_STEP_MILLI_CORES - 1) / CORE_STEP_MILLI_CORES * CORE_STEP_MILLI_CORES,
            (memoryMiB + MEMORY_STEP_MIB - 1) / MEMORY_STEP_MIB * MEMORY_STEP_MIB,
            accelerators,
        )

        /** Covers about ten gangs of the slowest queue, and is short enough to follow a burst. */
        private const val WINDOW_MILLIS = 10_000L

        /** Five accelerator counts of three queues, and one more. */
        private const val MAX_KINDS = 16
        private const val CORE_STEP_MILLI_CORES = 4_000L
        private const val MEMORY_STEP_MIB = 4_096L

        /** An urgent job is worth about as much as a gang of four times its size and more, and can wait least. */
        private const val URGENT_FACTOR = 4L
    }
}
