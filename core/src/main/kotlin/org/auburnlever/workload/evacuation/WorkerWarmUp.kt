package org.auburnlever.workload.evacuation

import org.auburnlever.workload.holds.HoldRule
import org.auburnlever.workload.holds.LeftOutWorker
import org.auburnlever.workload.planning.RunProgress
import org.auburnlever.workload.planning.START_MILLIS
import org.auburnlever.workload.planning.needOf
import org.auburnlever.workload.runs.WorkerReport
import org.auburnlever.workload.runs.WorkerView
import org.auburnlever.workload.state.JobRecord
import org.auburnlever.workload.state.Resources
import org.auburnlever.workload.state.TaskId
import org.auburnlever.workload.state.TaskRecord
import org.auburnlever.workload.state.TaskRun
import org.auburnlever.workload.state.WorkloadState

/**
 * Limits the capacity of workers whose failure domain was evacuated until lately.
 *
 * Load pattern: an evacuation ends while much work waits. The workers that return are empty and may be cold, so that
 * all waiting work would go to the slowest workers of the fleet at once. Each of them therefore starts with a quarter
 * of its capacity. The share doubles with time, becomes whole as soon as a run shows a usual speed, and stays a
 * quarter, for a limited time, while the runs there are slow.
 */
internal class WorkerWarmUp(
    private val state: WorkloadState,
    private val progress: Map<TaskRun, RunProgress>,
    private val nowMillis: Long,
) {
    private class Observations {
        var used = Resources.NONE
        var speedPercent: Long? = null
    }

    private val returning = state.endedEvacuations.filterValues {
        it.endMillis - it.startMillis >= COLD_AFTER_MILLIS && nowMillis - it.endMillis < MAX_WARM_UP_MILLIS
    }

    /** Returns [workers], with the capacity that each of them may use for now. */
    fun limit(workers: List<WorkerView>): List<WorkerView> {
        if (returning.isEmpty()) return workers
        val observations = observe(workers)
        return workers.map { view ->
            val report = view.report
            val ended = report?.let { returning[it.failureDomain] }
            if (report == null || ended == null) view else view.limited(report, ended, observations[view.ref.id])
        }
    }

    /** Returns those of [workers] that may not be used whole yet. */
    fun leftOut(workers: List<WorkerView>): List<LeftOutWorker> =
        workers.zip(limit(workers)).mapNotNull { (whole, limited) ->
            val capacity = whole.report?.capacity
            val kept = limited.report?.capacity?.let { capacity?.minus(it) }
            val ended = whole.report?.let { returning[it.failureDomain] }
            if (kept == null || kept == Resources.NONE || ended == null) {
                null
            } else {
                val owner = "${whole.report.failureDomain}"
                LeftOutWorker(whole, HoldRule.WARM_UP, kept, owner, ended.endMillis + MAX_WARM_UP_MILLIS)
            }
        }

    private fun observe(workers: List<WorkerView>): Map<String, Observations> {
        val endMillisById = workers.mapNotNull { view ->
            view.report?.let { returning[it.failureDomain] }?.let { view.ref.id to it.endMillis }
        }.toMap()
        val observations = HashMap<String, Observations>()
        for (job in state.jobs.values) {
            for ((id, task) in job.assigned()) {
                val worker = task.worker?.id
                val endMillis = endMillisById[worker]
                if (worker == null || endMillis == null) continue
                val observed = observations.getOrPut(worker) { Observations() }
                observed.used += job.needOf(id)
                if (task.assignedMillis >= endMillis) {
                    val speeds = listOfNotNull(observed.speedPercent, job.speedPercent(id, task))
                    observed.speedPercent = speeds.minOrNull()
                }
            }
        }
        return observations
    }

    /** Returns the speed of a run against its declared duration; null if it says too little yet. */
    private fun JobRecord.speedPercent(id: TaskId, task: TaskRecord): Long? {
        val step = spec.steps[id.step]
        val newest = progress[TaskRun(id, task.run)]
        if (step.longRunning || newest == null || task.checkpoint.isNotEmpty()) return null
        val measuredMillis = if (newest.percent > 0) newest.reportedMillis else nowMillis
        val elapsedMillis = measuredMillis - task.assignedMillis - START_MILLIS
        return if (elapsedMillis < MIN_OBSERVED_MILLIS) null else newest.percent * step.estimatedMillis / elapsedMillis
    }

    private fun WorkerView.limited(report: WorkerReport, ended: EndedEvacuation, seen: Observations?): WorkerView {
        val speedPercent = seen?.speedPercent
        val doublings = ((nowMillis - ended.endMillis) / DOUBLING_MILLIS).toInt().coerceIn(0, MAX_DOUBLINGS)
        val sharePercent = when {
            speedPercent == null -> FIRST_SHARE_PERCENT shl doublings
            speedPercent < SLOW_PERCENT -> FIRST_SHARE_PERCENT
            else -> PERCENT
        }
        // What work that ran on during the evacuation uses counts as capacity, so that the worker is not overcommitted.
        val capacity = report.capacity.share(sharePercent).atLeast(seen?.used ?: Resources.NONE)
        return copy(report = report.copy(capacity = capacity.atMost(report.capacity)))
    }

    private fun Resources.share(percent: Int) = Resources(
        milliCores * percent / PERCENT,
        memoryMiB * percent / PERCENT,
        // Rounded up, so that a worker with few accelerators can show its speed at all.
        (accelerators * percent + PERCENT - 1) / PERCENT,
    )

    private fun Resources.atLeast(other: Resources) = Resources(
        maxOf(milliCores, other.milliCores),
        maxOf(memoryMiB, other.memoryMiB),
        maxOf(accelerators, other.accelerators),
    )

    private fun Resources.atMost(other: Resources) = Resources(
        minOf(milliCores, other.milliCores),
        minOf(memoryMiB, other.memoryMiB),
        minOf(accelerators, other.accelerators),
    )

    private companion object {
        /** A shorter evacuation leaves most of the running work in place, so the workers are not cold. */
        const val COLD_AFTER_MILLIS = 3_000L

        /**
         * Time after which a returning worker is used like any other, however slow its runs look.
         *
         * Declared durations are off by up to 90%, so a slow run may only be a long one.
         */
        val MAX_WARM_UP_MILLIS = HoldRule.WARM_UP.limitMillis
        const val FIRST_SHARE_PERCENT = 25

        /** About the duration of a small urgent task, so that each share can be observed before the next. */
        const val DOUBLING_MILLIS = 2_500L
        const val MAX_DOUBLINGS = 2

        /** Below half of the declared speed, a run counts as slow. */
        const val SLOW_PERCENT = 50
        const val PERCENT = 100

        /** Two polls; the rounding of the reported percentage matters less from then on. */
        const val MIN_OBSERVED_MILLIS = 1_000L
    }
}
