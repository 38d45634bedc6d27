package org.auburnlever.workload.preemption

import org.auburnlever.workload.state.JobPhase
import org.auburnlever.workload.state.JobRecord
import org.auburnlever.workload.state.StepSpec
import org.auburnlever.workload.state.TaskPhase
import org.auburnlever.workload.state.TaskRecord

/**
 * The work that preemptions outside guarantees may still discard, in milli-core-milliseconds.
 *
 * Load pattern: urgent jobs arrive all day, and each alone may stop several times its own work. A token bucket limits
 * what all of them discard together to [SHARE_PER_MILLE] of the fleet's capacity, with bursts of [BURST_MILLIS] of it.
 *
 * @property leftMilliCoreMillis work that may be discarded now
 * @property atMillis time of the newest refill
 */
data class PreemptionBudget(val leftMilliCoreMillis: Long, val atMillis: Long) {
    /** Returns the budget at [nowMillis] of a fleet of [capacityMilliCores]. */
    fun refilled(capacityMilliCores: Long, nowMillis: Long): PreemptionBudget {
        val perMilli = perMilli(capacityMilliCores)
        val refill = perMilli * maxOf(0, nowMillis - atMillis)
        val left = minOf(leftMilliCoreMillis + refill, perMilli * BURST_MILLIS)
        return PreemptionBudget(left, maxOf(atMillis, nowMillis))
    }

    /** Returns the budget after preemptions that discard [milliCoreMillis]. */
    fun spent(milliCoreMillis: Long): PreemptionBudget =
        copy(leftMilliCoreMillis = leftMilliCoreMillis - milliCoreMillis)

    companion object {
        /** Part of the fleet's capacity that may be discarded; a day may discard a fifth of what it did, 0.7%. */
        private const val SHARE_PER_MILLE = 4

        /** Covers a burst of 4 s and the time until the work that it delayed has ended. */
        private const val BURST_MILLIS = 10_000L
        private const val PER_MILLE = 1_000

        /**
         * Returns the budget of a new leader, from the runs of [jobs] that ended early within the last [BURST_MILLIS].
         *
         * Runs that were lost for other reasons count too, so that the budget is small while workers fail.
         */
        fun rebuilt(jobs: Collection<JobRecord>, capacityMilliCores: Long, nowMillis: Long): PreemptionBudget {
            val sinceMillis = nowMillis - BURST_MILLIS
            val discarded = jobs.filter { it.phase == JobPhase.ACTIVE }.sumOf { it.discardedSince(sinceMillis) }
            val full = perMilli(capacityMilliCores) * BURST_MILLIS
            return PreemptionBudget(maxOf(0, full - discarded), nowMillis)
        }

        private fun perMilli(capacityMilliCores: Long): Long = capacityMilliCores * SHARE_PER_MILLE / PER_MILLE
    }
}

private fun JobRecord.discardedSince(sinceMillis: Long): Long = occurrences.values.sumOf { steps ->
    steps.withIndex().sumOf { (index, record) ->
        val step = spec.steps[index]
        record.tasks.filter { it.releasedMillis >= sinceMillis }.sumOf { step.discardedMillis(it) } *
            step.reserved.weightMilliCores
    }
}

/** What the newest released run did; the assignment of an earlier run is not stored, so half of the estimate counts. */
private fun StepSpec.discardedMillis(task: TaskRecord): Long = when {
    longRunning -> 0
    checkpointing -> LOST_WITH_CHECKPOINTS_MILLIS
    task.phase == TaskPhase.WAITING -> maxOf(0, task.releasedMillis - task.assignedMillis)
    else -> estimatedMillis / 2
}
