package org.auburnlever.workload.admission

import org.auburnlever.workload.learning.DurationForecast
import org.auburnlever.workload.planning.START_MILLIS
import org.auburnlever.workload.state.JobRecord
import org.auburnlever.workload.state.ReturnSlot

/**
 * Decides by a [RoomForecast] which jobs are turned away, and when their callers should come back.
 *
 * Load pattern: bursts of 1.7 to 2.6 times what the fleet can do. A job that would end too late earns nothing, and
 * takes room from jobs that could still be on time. A job is accepted if all its tasks find room now, and otherwise if
 * it is forecast to end within [ACCEPTED_OBJECTIVES] objectives of its caller's first attempt.
 */
internal class AdmissionControl(private val durations: DurationForecast) {
    /** The forecast for one job; [slot] is set if it is to be turned away. */
    class Decision(val endMillis: Long, val slot: ReturnSlot?)

    /**
     * Decides on [job], submitted at [nowMillis].
     *
     * @param accepted jobs that were accepted since the plan of [forecast]
     * @param returns the jobs that are expected back; one that comes before its time keeps it
     */
    fun decide(
        job: JobRecord,
        forecast: RoomForecast,
        accepted: Collection<JobRecord>,
        returns: Map<String, ReturnSlot>,
        nowMillis: Long,
    ): Decision {
        val earlier = returns[job.id]
        val startMillis = maxOf(nowMillis, forecast.startMillis(job, accepted))
        val endMillis = startMillis + START_MILLIS + pathMillis(job)
        val firstMillis = earlier?.firstMillis ?: nowMillis
        val objectiveMillis = job.objectiveMillis() - job.beginMillis()
        val inTime = endMillis <= firstMillis + objectiveMillis * ACCEPTED_OBJECTIVES
        if (inTime || startMillis == nowMillis) return Decision(endMillis, slot = null)
        val ahead = returns.values.filter {
            it.service == job.service && it.priority <= job.policy.priority && it.returnMillis > nowMillis
        }
        val queuedMillis = ahead.sumOf { it.workerMillis } / maxOf(forecast.workerCount, 1)
        val spreadMillis = job.id.hashCode().mod(HASH_SPREAD_MILLIS)
        val givenMillis = earlier?.returnMillis?.takeIf { it > nowMillis }
        val slot = ReturnSlot(
            service = job.service,
            priority = job.policy.priority,
            firstMillis = firstMillis,
            returnMillis = givenMillis ?: (startMillis + queuedMillis + spreadMillis),
            workerMillis = job.spec.steps.sumOf { forecast.largestWorker.occupiedMillis(it, it.taskCount) },
        )
        return Decision(endMillis, slot)
    }

    /** Returns the expected duration of the longest chain of dependent steps. */
    private fun pathMillis(job: JobRecord): Long {
        val ends = ArrayList<Long>()
        job.spec.steps.forEachIndexed { index, step ->
            val before = step.dependsOn.maxOfOrNull { ends.getOrElse(it) { 0L } } ?: 0L
            ends += before + durations.taskMillis(job, index)
        }
        return ends.maxOrNull() ?: 0L
    }

    private companion object {
        /**
         * An answer is of use for three objectives, but a late one earns a fifth to a third of one in time, and work
         * that arrives later delays it further than forecast.
         */
        const val ACCEPTED_OBJECTIVES = 2

        /** Spreads callers that are turned away at the same moment over half a second. */
        const val HASH_SPREAD_MILLIS = 500
    }
}
