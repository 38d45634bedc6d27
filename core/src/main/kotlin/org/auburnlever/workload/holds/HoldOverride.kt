package org.auburnlever.workload.holds

import org.auburnlever.workload.planning.FleetCapacity
import org.auburnlever.workload.planning.PlanningInput
import org.auburnlever.workload.planning.URGENT
import org.auburnlever.workload.planning.WaitingStep
import org.auburnlever.workload.planning.WorkerCapacity
import org.auburnlever.workload.planning.fits
import org.auburnlever.workload.planning.maxTasksOf
import org.auburnlever.workload.planning.needOf
import org.auburnlever.workload.planning.place
import org.auburnlever.workload.state.Assignment
import org.auburnlever.workload.state.StepId
import org.auburnlever.workload.state.WorkerRef

/**
 * Places tasks that a plan left waiting into room that rules keep, once [HoldLimit] allows it.
 *
 * Ordinary tasks get such room while under half of their service is in use, long-running ones always. The rules then
 * only order the workers: those without a hold come first, suspended ones last. Room for an urgent step is spared as
 * [HoldLimit.protects] says.
 *
 * @param steps the waiting steps in the order of the plan
 * @param assignments what the plan has placed already
 */
internal class HoldOverride(
    private val input: PlanningInput,
    private val steps: List<WaitingStep>,
    private val assignments: List<Assignment>,
    private val holds: List<RoomHold>,
    private val nowMillis: Long,
) {
    private val limit = HoldLimit(nowMillis)
    private val holdsByWorker = holds.groupBy { it.worker }
    private val fleet by lazy(LazyThreadSafetyMode.NONE) { fleetWithoutHolds() }
    private val load by lazy(LazyThreadSafetyMode.NONE) { ServiceLoad(fleet) }

    /** The steps that were placed in spite of holds, with the rules that kept the room. */
    val overridden = LinkedHashMap<StepId, Set<HoldRule>>()

    /** Returns the additional assignments. */
    fun assign(): List<Assignment> {
        if (holds.isEmpty() && steps.none { it.prefersRack }) return emptyList()
        val placed = assignments.groupBy({ it.step }, { it.workers.keys }).mapValues { it.value.flatten().toSet() }
        return steps.mapNotNull { step ->
            val left = step.tasks - placed[step.id].orEmpty()
            val due = if (left.isEmpty()) emptyList() else limit.reachedBy(step.with(tasks = left))
            if (due.isEmpty()) null else assign(step.with(tasks = due, alone = step.alone intersect due.toSet()))
        }
    }

    private fun assign(step: WaitingStep): Assignment? {
        val service = step.job.service
        val allowed = step.spec.longRunning || load.isIdle(service)
        // A crash is only evidence against a suspected task that has its worker to itself; its wait has its own limit.
        val workers = if (allowed && step.alone.isEmpty()) place(step) else emptyMap()
        if (workers.isEmpty()) return null
        load.take(service, step.spec.reserved * workers.size)
        overridden[step.id] = workers.values.mapNotNull { fleet.worker(it.id) }
            .flatMap { worker -> worker.holdsFor(step).map { it.rule } }.toSet()
        return Assignment(step.id, step.nextRun, workers)
    }

    private fun place(step: WaitingStep): Map<Int, WorkerRef> {
        val pool = fleet.pool(step.job.service, step.spec.constraint, except = workersAtLimit(step))
        if (pool.isFullFor(step.spec.reserved)) return emptyMap()
        val candidates = pool.workers
            .filter { worker -> worker.maxTasksOf(step) > 0 && worker.holdsFor(step).all { mayUse(it, step) } }
        return if (step.spec.gang) placeGang(step, candidates) else placeSingly(step, candidates)
    }

    /** Returns the workers that the plan gave tasks of [step], if the number of these on one worker is limited. */
    private fun workersAtLimit(step: WaitingStep): Set<String> = if (step.spec.maxTasksPerWorker > 0) {
        assignments.filter { it.step == step.id }.flatMap { it.workers.values }.map { it.id }.toSet()
    } else {
        emptySet()
    }

    private fun mayUse(hold: RoomHold, step: WaitingStep): Boolean =
        step.spec.longRunning || hold.rule != HoldRule.SUSPECTED_RUN || hold.outlivedStart

    /** Whether the suspected run has survived its start, at which it would crash its worker. */
    private val RoomHold.outlivedStart: Boolean
        get() = untilMillis != null && untilMillis - nowMillis <= rule.limitMillis - HoldLimit.MAX_HOLD_MILLIS

    /** Places all tasks, if possible on one rack and on workers with the weakest rules. */
    private fun placeGang(step: WaitingStep, candidates: List<WorkerCapacity>): Map<Int, WorkerRef> {
        val byRank = candidates.groupBy { it.rankFor(step) }.toSortedMap().values
        val prefixes = byRank.runningReduce { weaker, next -> weaker + next }
        val racks = when {
            step.spec.dataRack != null -> prefixes.map { set -> set.filter { it.report.rack == step.spec.dataRack } }
            step.spec.rackSensitive -> prefixes.flatMap { set -> set.groupBy { it.report.rack }.values }
            else -> emptyList()
        }
        val fitting = (racks + prefixes).firstOrNull { fits(step, it) }
        return if (fitting == null) emptyMap() else place(step, fitting)
    }

    /** Places as many tasks as fit, on the workers with the weakest rules. */
    private fun placeSingly(step: WaitingStep, candidates: List<WorkerCapacity>): Map<Int, WorkerRef> {
        val placed = LinkedHashMap<Int, WorkerRef>()
        for ((_, workers) in candidates.groupBy { it.rankFor(step) }.toSortedMap()) {
            placed += place(step.with(tasks = step.tasks - placed.keys), workers)
        }
        return placed
    }

    private fun WorkerCapacity.rankFor(step: WaitingStep): Int = holdsFor(step).maxOfOrNull { it.rule.rank } ?: 0

    private fun WorkerCapacity.holdsFor(step: WaitingStep): List<RoomHold> =
        holdsByWorker[ref.id].orEmpty().filter { it.owner != "${step.id}" }

    /** Returns the reachable workers with all that is really free on them, less what is spared for urgent steps. */
    private fun fleetWithoutHolds(): FleetCapacity {
        val views = (input.workers + input.leftOut.map { it.view }).associateBy { it.ref.id }.values
        val fleet = FleetCapacity.of(views, input.jobs, nowMillis, keepsForSuspected = false)
        val jobs = input.jobs.associateBy { it.id }
        assignments.forEach { assignment ->
            val need = jobs.getValue(assignment.step.job).needOf(assignment.step.task(0))
            assignment.workers.values.forEach { fleet.worker(it.id)?.allocate(need) }
        }
        val spared = steps.filter { it.priority == URGENT && limit.protects(it, input.limits.reclaimMillis) }
            .map { "${it.id}" }.toSet()
        holds.filter { it.rule == HoldRule.URGENT_STEP && it.owner in spared }
            .forEach { fleet.worker(it.worker)?.allocate(it.room) }
        return fleet
    }
}

/** Whether the step may wait for one rack although there is room elsewhere. */
private val WaitingStep.prefersRack: Boolean
    get() = spec.dataRack != null || tasks.size > 1 && spec.rackSensitive
