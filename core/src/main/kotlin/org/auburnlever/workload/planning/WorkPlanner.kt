package org.auburnlever.workload.planning

import org.auburnlever.model.ServiceName
import org.auburnlever.workload.holds.HoldRule
import org.auburnlever.workload.holds.RoomHold
import org.auburnlever.workload.placement.ScarcePlacement
import org.auburnlever.workload.preemption.UrgentClaim
import org.auburnlever.workload.preemption.UrgentPlanning
import org.auburnlever.workload.state.Assignment
import org.auburnlever.workload.state.Resources
import org.auburnlever.workload.state.StepId
import org.auburnlever.workload.state.TaskRun
import org.auburnlever.workload.state.WorkerRef
import org.auburnlever.workload.state.with

/** Priority of the jobs that may preempt others. */
internal const val URGENT = 0

/**
 * Makes one plan from steps that are passed in order; each step allocates the resources that it gets.
 *
 * The workers in [reservedForUrgent] are for urgent steps only.
 */
internal class WorkPlanner(
    private val fleet: FleetCapacity,
    private val preemptionPlanner: PreemptionPlanner,
    private val rules: PreemptionRules,
    private val reservedForUrgent: Set<String>,
    private val scarcity: ScarcePlacement? = null,
    private val urgentPlanning: UrgentPlanning? = null,
) {
    private val urgentClaims = ArrayList<UrgentClaim>()
    val assignments = ArrayList<Assignment>()
    val preemptedFor = LinkedHashMap<TaskRun, StepId>()
    private val racks = RackChoice()

    // Two maps, since hashing the ids of the reserved workers at each look-up takes longer than the look-up.
    private val pools = HashMap<Pair<ServiceName, String?>, WorkerPool>()
    private val poolsOfOthers = HashMap<Pair<ServiceName, String?>, WorkerPool>()

    /** Room that this plan keeps from the steps that it leaves waiting. */
    val holds = ArrayList<RoomHold>()
    private var gangsWithReservation = 0
    private var workersToDrain = 0

    /**
     * Assigns the tasks of [step] that fit.
     *
     * It preempts other work for the rest of an urgent step, and reserves resources for a gang that does not fit yet.
     */
    fun consider(step: WaitingStep) {
        if (step.priority != URGENT) preemptForClaims()
        val placed = placeNow(step)
        if (placed.isNotEmpty()) assignments += Assignment(step.id, step.nextRun, placed)
        holds += placed.filterKeys { it in step.alone }.map { (index, worker) ->
            val run = TaskRun(step.id.task(index), step.nextRun)
            val untilMillis = rules.nowMillis + HoldRule.SUSPECTED_RUN.limitMillis
            RoomHold(worker.id, HoldRule.SUSPECTED_RUN, "$run", Resources.NONE, untilMillis)
        }
        when {
            placed.size == step.tasks.size -> Unit
            step.alone.isNotEmpty() -> waitForIdleWorker(step, placed.size)
            step.priority == URGENT -> preemptFor(step, placed.size)
            step.spec.gang -> reserveForGang(step)
        }
    }

    /**
     * Reserves the free resources of the candidate set that can hold most of the gang.
     *
     * Otherwise small tasks take all resources as they become free, and a gang that needs several whole workers never
     * starts. A set that is too small for the gang even when idle is not reserved.
     */
    private fun reserveForGang(step: WaitingStep) {
        val untilMillis = rules.reservationEndMillis(step)
        val sets = racks.candidateSets(step, pool(step)).filter { couldHold(it, step) }
        if (untilMillis == null || sets.isEmpty() || gangsWithReservation >= MAX_GANGS_WITH_RESERVATION) return
        gangsWithReservation += 1
        val singleTasks = step.with(spec = step.spec.copy(gang = false))
        val best = if (scarcity != null) {
            scarcity.fullestSet(singleTasks, sets)
        } else {
            sets.maxByOrNull { candidates -> fleet.trial { place(singleTasks, candidates).size } }
        }
        if (best != null) {
            holdFor(step, HoldRule.GANG_RESERVATION, untilMillis) { place(singleTasks, best, scarcity) }
        }
    }

    /** Records the free room that [reserve] allocates for [step]. */
    private fun holdFor(step: WaitingStep, rule: HoldRule, untilMillis: Long?, reserve: () -> Unit) {
        val before = fleet.workers.associateWith { it.free }
        reserve()
        val changed = before.filter { (worker, free) -> free != worker.free }
        holds += changed.map { (worker, free) ->
            RoomHold(worker.ref.id, rule, "${step.id}", room = free - worker.free, untilMillis)
        }
    }

    /**
     * Keeps the workers with the least work free of new tasks for the tasks of [step] that run alone, of which
     * [placedCount] are placed. Otherwise small tasks take the room of each task that ends, and no worker is ever idle.
     *
     * If each worker has a long-running task, none will be idle, and the step is placed like others.
     */
    private fun waitForIdleWorker(step: WaitingStep, placedCount: Int) {
        val drainable = pool(step).workers.filter {
            !it.hasLongRunningTask && it.report.capacity.holds(step.spec.reserved)
        }
        if (drainable.isEmpty() && placedCount == 0) return consider(step.with(alone = emptySet()))
        val count = minOf(step.alone.size - placedCount, MAX_WORKERS_TO_DRAIN - workersToDrain)
        val leastWork = drainable.filter { it.free != Resources.NONE }.sortedByDescending { it.free.weightMilliCores }
        for (worker in leastWork.take(count)) {
            holds += worker.hold(HoldRule.DRAINED_WORKER, "${step.id}", step.idleWorkerWaitEndMillis)
            worker.allocateRest()
            workersToDrain += 1
        }
    }

    private fun placeNow(step: WaitingStep): Map<Int, WorkerRef> {
        if (pool(step).isFullFor(step.spec.reserved)) return emptyMap()
        val sets = racks.candidateSets(step, pool(step))
        val fittingSet = if (scarcity != null) scarcity.bestSet(step, sets) else sets.firstOrNull { fits(step, it) }
        return when {
            fittingSet != null -> place(step, fittingSet, scarcity)
            step.spec.gang && !rules.reclaimIsDue(step) -> emptyMap()
            scarcity != null && scarcity.waitsForRack(step, sets) && !rules.reclaimIsDue(step) -> emptyMap()
            else -> place(step, pool(step).workers, scarcity)
        }
    }

    private fun pool(step: WaitingStep): WorkerPool {
        val all = step.priority == URGENT || step.alone.isNotEmpty()
        val withheld = if (all) null else urgentPlanning?.keptRoom?.withheldFrom(step)
        if (withheld != null) return fleet.pool(step.job.service, step.spec.constraint, withheld)
        val pools = if (all) pools else poolsOfOthers
        return pools.getOrPut(step.job.service to step.spec.constraint) {
            fleet.pool(step.job.service, step.spec.constraint, if (all) emptySet() else reservedForUrgent)
        }
    }

    /**
     * Reserves resources for the tasks of [step] beyond the first [placedCount], and stops work that does not end in
     * time. If the rules forbid the stops, the step keeps its reservation until that work ends.
     */
    private fun preemptFor(step: WaitingStep, placedCount: Int) {
        val missing = step.with(tasks = step.tasks.drop(placedCount))
        if (urgentPlanning != null) {
            urgentClaims += UrgentClaim(missing, racks.candidateSets(missing, pool(missing)), pool(missing).workers)
            return
        }
        val patienceMillis = rules.patienceMillis(missing)
        val preemption = preemptionPlanner.find(missing, racks.candidateSets(missing, pool(missing)), patienceMillis)
            ?: findAnywhere(missing, patienceMillis)
            ?: return
        val permitted = rules.permits(missing, preemption)
        val untilMillis = rules.urgentReservationEndMillis(missing)
        if (permitted || untilMillis != null) {
            holdFor(step, HoldRule.URGENT_STEP, untilMillis) {
                preemptionPlanner.reserve(missing, preemption, stops = permitted)
            }
        }
        if (permitted) {
            preemption.stopped.flatMap { it.runs }.forEach { (run, _) -> preemptedFor[run] = step.id }
        }
    }

    /** Decides the preemptions for all urgent steps considered so far, before other steps take the room. */
    fun preemptForClaims() {
        if (urgentPlanning == null || urgentClaims.isEmpty()) return
        holdFor(urgentClaims.first().step, HoldRule.URGENT_STEP, untilMillis = null) {
            preemptedFor += urgentPlanning.preemption.decide(urgentClaims)
        }
        urgentClaims.clear()
    }

    /**
     * Returns a preemption for a step that must begin now within its guarantee.
     *
     * It may need what the stops for earlier steps leave over; a stop that waits until that room is free is too late.
     */
    private fun findAnywhere(step: WaitingStep, patienceMillis: Long): Preemption? =
        if (rules.reclaimIsDue(step)) {
            preemptionPlanner.find(step, listOf(pool(step).workers), patienceMillis, sharesFreedRoom = true)
        } else {
            null
        }

    private companion object {
        /** Workers that drain are partly idle, so only the next few tasks that run alone get one. */
        const val MAX_WORKERS_TO_DRAIN = 2

        /** Reserved resources are idle until the gang starts, so only the next few gangs get a reservation. */
        const val MAX_GANGS_WITH_RESERVATION = 2
    }
}
