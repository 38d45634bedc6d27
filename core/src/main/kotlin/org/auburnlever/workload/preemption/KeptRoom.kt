package org.auburnlever.workload.preemption

import org.auburnlever.workload.planning.FleetCapacity
import org.auburnlever.workload.planning.PlanningInput
import org.auburnlever.workload.planning.URGENT
import org.auburnlever.workload.planning.WaitingStep
import org.auburnlever.workload.planning.WorkerCapacity
import org.auburnlever.workload.planning.needOf

/**
 * Racks whose room is kept for urgent jobs that are expected.
 *
 * Load pattern: most urgent jobs need several accelerators in one rack. Free accelerators that are spread over all
 * racks don't help them, so that each of them preempts work although the fleet has room. Whole racks are kept instead,
 * first those that urgent work uses already.
 *
 * @property idle workers that get urgent work only
 * @property yielding workers that also get work which loses little when it is stopped
 */
internal class KeptRoom(private val idle: Set<String>, yielding: Set<String>) {
    private val all = idle + yielding

    /** Ids of the workers whose room is kept, from some or all other work. */
    val workers: Set<String> get() = all

    /** Returns the workers that [step] may not be placed on. */
    fun withheldFrom(step: WaitingStep): Set<String> = when {
        step.priority == URGENT -> emptySet()
        step.yields() -> idle
        else -> all
    }

    companion object {
        val NONE = KeptRoom(emptySet(), emptySet())

        /** Chooses the racks for the urgent jobs that are expected to arrive before a preemption could make room. */
        fun of(fleet: FleetCapacity, input: PlanningInput, nowMillis: Long): KeptRoom {
            val total = fleet.workers.sumOf { it.report.capacity.accelerators }
            val free = fleet.workers.sumOf { it.freeAccelerators() }
            if (free * 2 >= total) return NONE
            val horizonMillis = input.limits.preemptionMillis * HORIZON_PERCENT / PERCENT
            val expected = UrgentForecast.of(input.jobs, nowMillis).arriving(nowMillis, nowMillis + horizonMillis)
            val target = expected.accelerators * HEADROOM_PERCENT / PERCENT
            return chosen(fleet, urgentAccelerators(input), target, total)
        }

        private fun chosen(fleet: FleetCapacity, usedByUrgent: Map<String, Int>, target: Int, total: Int): KeptRoom {
            val idle = HashSet<String>()
            val yielding = HashSet<String>()
            val idleTarget = minOf(target, total * MAX_IDLE_PERCENT / PERCENT)
            val yieldingTarget = minOf(target, total * MAX_KEPT_PERCENT / PERCENT)
            var kept = 0
            val racks = fleet.workers.groupBy { it.report.service to it.report.rack }.values
            val open = { worker: WorkerCapacity -> worker.freeAccelerators() + (usedByUrgent[worker.ref.id] ?: 0) }
            for (rack in racks.sortedByDescending { rack -> rack.sumOf(open) }) {
                when {
                    kept < idleTarget -> idle += rack.map { it.ref.id }
                    kept < yieldingTarget -> yielding += rack.map { it.ref.id }
                    else -> break
                }
                kept += rack.sumOf { it.freeAccelerators() }
            }
            return KeptRoom(idle, yielding)
        }

        private fun urgentAccelerators(input: PlanningInput): Map<String, Int> {
            val used = HashMap<String, Int>()
            for (job in input.jobs.filter { it.policy.priority == URGENT }) {
                for ((id, task) in job.assigned()) {
                    task.worker?.let { used.merge(it.id, job.needOf(id).accelerators, Int::plus) }
                }
            }
            return used
        }

        /**
         * Time for which room is kept, as a share of the time that a preemption takes.
         *
         * In the replay of the second deployment, room for half as long discarded two to five times as much work, and
         * room for half again as long delayed other jobs of the first one.
         */
        private const val HORIZON_PERCENT = 165

        /** With a few jobs at a time, arrivals vary by about half of their mean. */
        private const val HEADROOM_PERCENT = 150

        /** Bound on what is kept idle; in the replay, 12% served urgent jobs no better. */
        private const val MAX_IDLE_PERCENT = 6
        private const val MAX_KEPT_PERCENT = 30
        private const val PERCENT = 100
    }
}

private fun WorkerCapacity.freeAccelerators(): Int = maxOf(0, free.accelerators)

/** Returns whether stopping a task of the step loses little: single tasks that save their progress. */
private fun WaitingStep.yields(): Boolean = spec.checkpointing && !spec.gang
