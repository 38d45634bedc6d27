package org.auburnlever.workload.placement

import org.auburnlever.model.DomainName
import org.auburnlever.workload.planning.WaitingStep
import org.auburnlever.workload.planning.WorkerCapacity
import org.auburnlever.workload.runs.WorkerView

/**
 * How the free accelerators of a fleet are spread over its workers.
 *
 * @property freeAccelerators accelerators that no task has allocated
 * @property stranded those of them that no task of a waiting step can use where they are; 0 if nothing waits
 * @property wholeWorkers workers of which nothing is allocated
 */
internal data class Fragmentation(val freeAccelerators: Int, val stranded: Int, val wholeWorkers: Int) {
    companion object {
        /** Measures [workers] against the [waiting] steps. */
        fun of(workers: List<WorkerCapacity>, waiting: List<WaitingStep>): Fragmentation {
            val kinds = waiting.distinctBy { listOf(it.job.service, it.spec.reserved, it.spec.constraint) }
            val stranded = workers.sumOf { worker ->
                val free = maxOf(0, worker.free.accelerators)
                if (kinds.isEmpty()) 0 else free - kinds.maxOf { minOf(free, worker.usableBy(it)) }
            }
            return Fragmentation(
                freeAccelerators = workers.sumOf { maxOf(0, it.free.accelerators) },
                stranded = stranded,
                wholeWorkers = workers.count { it.idle },
            )
        }

        private fun WorkerCapacity.usableBy(step: WaitingStep): Int {
            val need = step.spec.reserved
            val suits = report.service == step.job.service &&
                (step.spec.constraint == null || step.spec.constraint in report.labels)
            return if (suits && free.holds(need)) {
                minOf(free.count(need), step.tasks.size) * need.accelerators
            } else {
                0
            }
        }
    }
}

/**
 * Returns which percentage of the workers of each failure domain drains or has left in the last seconds.
 *
 * Load pattern: a third of the workers leaves with a notice of 1.6 s, mostly those of one failure domain. The others of
 * that domain are likely to follow, so what starts there is likely to be cut short.
 */
internal fun leavingPercent(workers: Collection<WorkerView>, nowMillis: Long): Map<DomainName, Int> =
    workers.groupBy { it.report?.failureDomain }.mapNotNull { (failureDomain, ofDomain) ->
        val known = ofDomain.filter { it.departureMillis == null || nowMillis - it.departureMillis <= RECENT_MILLIS }
        val leaving = known.count { it.departed || it.report?.draining == true }
        if (failureDomain == null || leaving == 0) null else failureDomain to leaving * PERCENT / known.size
    }.toMap()

/** A wave of leaving workers lasts a few seconds; workers that left before it say nothing about the others. */
private const val RECENT_MILLIS = 5_000L
private const val PERCENT = 100
