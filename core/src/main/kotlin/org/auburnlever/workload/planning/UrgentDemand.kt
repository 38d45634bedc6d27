package org.auburnlever.workload.planning

import org.auburnlever.workload.holds.HoldRule
import org.auburnlever.workload.state.JobPhase
import org.auburnlever.workload.state.JobRecord

/**
 * Tracks how many accelerators urgent jobs have needed lately.
 *
 * The reserve derived from it serves streams of small urgent jobs that arrive while routine work fills the fleet.
 * Without it each of them waits for a preemption, which takes about one second of an objective of four.
 */
data class UrgentDemand(private val samples: List<Sample> = emptyList()) {
    /** Accelerators that the active urgent jobs needed at [atMillis]. */
    data class Sample(val atMillis: Long, val accelerators: Int)

    /** Adds a sample of what the urgent jobs among [jobs] need at [nowMillis], at most once in [SAMPLE_MILLIS]. */
    fun observed(jobs: Collection<JobRecord>, nowMillis: Long): UrgentDemand {
        val newest = samples.lastOrNull()
        if (newest != null && nowMillis - newest.atMillis < SAMPLE_MILLIS) return this
        val kept = samples.filter { nowMillis - it.atMillis <= WINDOW_MILLIS }
        return UrgentDemand(kept + Sample(nowMillis, jobs.sumOf { it.urgentAccelerators(nowMillis) }))
    }

    /**
     * Returns the number of accelerators to keep free for urgent jobs in addition to those that they use already.
     *
     * What they use on the workers in [evacuated] does not count, since it is needed elsewhere next.
     */
    fun reserve(jobs: Collection<JobRecord>, evacuated: Set<String> = emptySet()): Int {
        if (samples.isEmpty()) return 0
        val expected = samples.sumOf { it.accelerators } * HEADROOM_PERCENT / (samples.size * PERCENT)
        val used = jobs.filter { it.policy.priority == URGENT }
            .sumOf { job ->
                job.assigned().sumOf { (id, task) ->
                    if (task.worker?.id in evacuated) 0 else job.needOf(id).accelerators
                }
            }
        return maxOf(0, expected - used)
    }

    private fun JobRecord.urgentAccelerators(nowMillis: Long): Int {
        if (phase != JobPhase.ACTIVE || policy.priority != URGENT) return 0
        // A job that nothing can place, such as too wide a gang, would keep room for as long as it waits.
        val waiting = waitingSteps(nowMillis)
            .filter { nowMillis - it.waitingSinceMillis < HoldRule.URGENT_DEMAND.limitMillis }
            .sumOf { it.spec.reserved.accelerators * it.tasks.size }
        return waiting + assigned().sumOf { (id, _) -> needOf(id).accelerators }
    }

    private companion object {
        const val SAMPLE_MILLIS = 250L

        /** Covers several urgent jobs, which take about 3 s each, but drops a burst soon after its end. */
        const val WINDOW_MILLIS = 10_000L

        /** With a few jobs at a time, arrivals vary by about half of their mean. */
        const val HEADROOM_PERCENT = 150
        const val PERCENT = 100
    }
}

/**
 * Returns the ids of the workers to reserve so that [accelerators] stay free.
 *
 * These are the emptiest ones, since urgent jobs often need whole workers. None are reserved while half of the fleet is
 * free.
 */
internal fun FleetCapacity.workersToReserve(accelerators: Int): Set<String> {
    val total = workers.sumOf { it.report.capacity.accelerators }
    val free = workers.sumOf { maxOf(0, it.free.accelerators) }
    if (accelerators <= 0 || free * 2 >= total) return emptySet()
    val kept = LinkedHashSet<String>()
    var missing = minOf(accelerators, total * MAX_RESERVE_PERCENT / WHOLE_PERCENT)
    val withAccelerators = workers.filter { it.report.capacity.accelerators > 0 }
    for (worker in withAccelerators.sortedByDescending { it.free.accelerators }) {
        if (missing <= 0) break
        kept += worker.ref.id
        missing -= maxOf(0, worker.free.accelerators)
    }
    return kept
}

/** Upper limit of the reserve, so that routine work goes on during a long burst. */
private const val MAX_RESERVE_PERCENT = 30
private const val WHOLE_PERCENT = 100
