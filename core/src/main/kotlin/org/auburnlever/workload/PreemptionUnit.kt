package org.auburnlever.workload

/**
 * Runs of a job that can only be preempted together: the members of a gang, or a single run.
 *
 * @property need resources of each run
 * @property costMillis work that is lost with a stop, weighted by the resources of the runs
 * @property stopping whether all runs have been told to stop already
 */
internal class PreemptionUnit(
    val runs: List<Pair<TaskRun, WorkerRef>>,
    val need: Resources,
    val costMillis: Long,
    val priority: Int,
    val stopping: Boolean,
) {
    /** Returns the resources that the runs on the worker [id] use together. */
    fun usedOn(id: String): Resources = need * runs.count { it.second.id == id }

    /** Returns whether the unit may be stopped for [step]; one that is stopping anyway may. */
    fun mayBePreemptedBy(step: WaitingStep): Boolean = stopping || priority > step.priority
}

/** Returns the units on each worker by its id, the cheapest first. Runs in [stopping] have no further cost. */
internal fun preemptionUnitsByWorker(
    jobs: Collection<JobRecord>,
    stopping: Set<TaskRun>,
    nowMillis: Long,
): Map<String, List<PreemptionUnit>> {
    val units = HashMap<String, MutableList<PreemptionUnit>>()
    for (unit in jobs.flatMap { it.preemptionUnits(stopping, nowMillis) }) {
        unit.runs.map { it.second.id }.distinct().forEach { id -> units.getOrPut(id) { ArrayList() } += unit }
    }
    units.values.forEach { onWorker -> onWorker.sortBy { it.costMillis } }
    return units
}

private fun JobRecord.preemptionUnits(stopping: Set<TaskRun>, nowMillis: Long): List<PreemptionUnit> {
    val (members, single) = assigned().partition { (id, _) -> spec.steps[id.step].gang }
    val units = members.groupBy { (id, _) -> id.stepId }.values + single.map { listOf(it) }
    return units.map { unit(it, stopping, nowMillis) }
}

private fun JobRecord.unit(
    tasks: List<Pair<TaskId, TaskRecord>>,
    stopping: Set<TaskRun>,
    nowMillis: Long,
): PreemptionUnit {
    val runs = tasks.mapNotNull { (id, task) -> task.worker?.let { TaskRun(id, task.run) to it } }
    val need = needOf(tasks.first().first)
    val stopped = runs.all { it.first in stopping }
    val elapsedMillis = tasks.sumOf { (_, task) -> RESTART_MILLIS + maxOf(0, nowMillis - task.assignedMillis) }
    val weight = need.milliCores + need.accelerators * MILLI_CORES_PER_ACCELERATOR
    return PreemptionUnit(runs, need, if (stopped) 0 else elapsedMillis * weight + 1, policy.priority, stopped)
}

/** The operators weigh an accelerator like 8 cores. */
private const val MILLI_CORES_PER_ACCELERATOR = 8_000

/** Cost of a stop besides the work done so far: the stop, the wait and the next start take about 2 s. */
private const val RESTART_MILLIS = 2_000L
