package org.auburnlever.workload.planning

import org.auburnlever.workload.preemption.StopLosses
import org.auburnlever.workload.state.JobRecord
import org.auburnlever.workload.state.Resources
import org.auburnlever.workload.state.StepSpec
import org.auburnlever.workload.state.TaskId
import org.auburnlever.workload.state.TaskRecord
import org.auburnlever.workload.state.TaskRun
import org.auburnlever.workload.state.WorkerRef

/**
 * Runs of a job that can only be preempted together: the members of a gang, or a single run.
 *
 * @property need resources of each run
 * @property stopCost what a stop of the runs costs
 * @property guaranteed whether the job is within the guarantee of its account
 * @property remainingMillis forecast of the time until all runs have ended; 0 if all have been told to stop already
 */
internal class PreemptionUnit(
    val runs: List<Pair<TaskRun, WorkerRef>>,
    val need: Resources,
    val stopCost: StopCost,
    val priority: Int,
    val guaranteed: Boolean,
    val remainingMillis: Long,
) {
    /** Returns the resources that the runs on the worker [id] use together. */
    fun usedOn(id: String): Resources = need * runs.count { it.second.id == id }

    /** Returns whether the runs end within [patienceMillis] without a new stop. */
    fun endsWithin(patienceMillis: Long): Boolean = remainingMillis <= patienceMillis

    /** Returns whether the unit may be stopped for [step]. */
    fun mayBePreemptedBy(step: WaitingStep): Boolean =
        priority > step.priority || priority == URGENT && step.guaranteed && !guaranteed

    /** Returns what it costs a step that can wait for [patienceMillis] to get the resources of the runs. */
    fun costWithin(patienceMillis: Long): Long =
        if (endsWithin(patienceMillis)) remainingMillis else stopCost.totalMilliCoreMillis
}

/**
 * The cost of a stop, in milli-core-milliseconds.
 *
 * @property lostMilliCoreMillis work that it throws away
 * @property totalMilliCoreMillis the lost work and the time until the runs work again, weighted by how often the step
 *   has been preempted and whether it is urgent
 */
internal class StopCost(val lostMilliCoreMillis: Long, val totalMilliCoreMillis: Long)

/** The units of all assigned runs; [losses] computes what their stops cost, and is null without the feature. */
internal class PreemptionUnits(
    private val input: PlanningInput,
    private val guaranteed: Set<String>,
    private val nowMillis: Long,
    private val losses: StopLosses? = null,
) {
    private val byWorker by lazy(LazyThreadSafetyMode.NONE) {
        val units = HashMap<String, MutableList<PreemptionUnit>>()
        for (unit in input.jobs.flatMap { it.unitsOf() }) {
            if (unit.runs.any { (run, _) -> run in input.protectedRuns }) continue
            val ids = unit.runs.map { it.second.id }
            val distinctIds = if (ids.size == 1) ids else ids.distinct()
            distinctIds.forEach { id -> units.getOrPut(id) { ArrayList() } += unit }
        }
        units.values.forEach { onWorker -> onWorker.sortBy { it.stopCost.totalMilliCoreMillis } }
        units
    }

    private val soonestByWorker = HashMap<String, List<PreemptionUnit>>()

    /** Returns the units with a run on the worker [id], the cheapest first. */
    fun on(id: String): List<PreemptionUnit> = byWorker[id].orEmpty()

    /** Returns the same units, those first that end soonest by themselves, then the cheapest. */
    fun soonestOn(id: String): List<PreemptionUnit> =
        soonestByWorker.getOrPut(id) { on(id).sortedBy { it.remainingMillis } }

    private fun JobRecord.unitsOf(): List<PreemptionUnit> {
        val (members, single) = assigned().partition { (id, _) -> spec.steps[id.step].gang }
        return (members.groupBy { (id, _) -> id.stepId }.values + single.map { listOf(it) }).map { unit(it) }
    }

    private fun JobRecord.unit(tasks: List<Pair<TaskId, TaskRecord>>): PreemptionUnit {
        val runs = tasks.mapNotNull { (id, task) -> task.worker?.let { TaskRun(id, task.run) to it } }
        val step = spec.steps[tasks.first().first.step]
        val weight = step.reserved.weightMilliCores
        val lostMillis = tasks.sumOf { (_, task) -> step.lostMillis(task) }
        val restartMillis = tasks.size * RESTART_MILLIS
        // Each further stop of a step costs more, so that no job is stopped again and again while others run through.
        val earlierRuns = tasks.maxOf { (_, task) -> task.run } - 1
        val urgentFactor = if (policy.priority == URGENT) URGENT_COST_FACTOR else 1
        val remainingMillis = tasks.maxOf { (id, task) -> remainingMillis(id, task) }
        return PreemptionUnit(
            runs = runs,
            need = step.reserved,
            stopCost = losses?.of(this, tasks, remainingMillis) ?: StopCost(
                lostMilliCoreMillis = lostMillis * weight,
                totalMilliCoreMillis = (lostMillis + restartMillis) * weight * (1 + earlierRuns) * urgentFactor + 1,
            ),
            priority = policy.priority,
            guaranteed = id in guaranteed,
            remainingMillis = remainingMillis,
        )
    }

    private fun JobRecord.remainingMillis(id: TaskId, task: TaskRecord): Long {
        val run = TaskRun(id, task.run)
        if (run in input.stopping) return 0
        return remainingMillis(id, task, input.progress[run], nowMillis, input.durations)
    }

    /** A stop saves the progress of a task with checkpoints, and a long-running task has none to lose. */
    private fun StepSpec.lostMillis(task: TaskRecord): Long =
        if (checkpointing || longRunning) 0 else maxOf(0, nowMillis - task.assignedMillis)
}

/** Cost of a stop besides the lost work: the stop, the wait and the next start take about 2 s. */
private const val RESTART_MILLIS = 2_000L

/** Urgent work is worth several times as much to its callers as other work of the same size. */
private const val URGENT_COST_FACTOR = 8
