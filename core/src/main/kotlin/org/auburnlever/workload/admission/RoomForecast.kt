package org.auburnlever.workload.admission

import org.auburnlever.workload.SchedulingFeature
import org.auburnlever.workload.planning.FleetCapacity
import org.auburnlever.workload.planning.PlanningInput
import org.auburnlever.workload.planning.START_MILLIS
import org.auburnlever.workload.planning.URGENT
import org.auburnlever.workload.planning.WaitingStep
import org.auburnlever.workload.planning.WorkPlan
import org.auburnlever.workload.planning.accountRanks
import org.auburnlever.workload.planning.needOf
import org.auburnlever.workload.planning.orderedSteps
import org.auburnlever.workload.planning.remainingMillis
import org.auburnlever.workload.planning.waitingSteps
import org.auburnlever.workload.planning.workersToReserve
import org.auburnlever.workload.runs.WorkerView
import org.auburnlever.workload.sharing.ResourceTime
import org.auburnlever.workload.state.JobRecord
import org.auburnlever.workload.state.Resources
import org.auburnlever.workload.state.TaskRun

/**
 * Forecasts when a job could start behind the work that a plan left waiting.
 *
 * It advances in time over the expected ends of running tasks and places waiting steps in the order of the planner on
 * single workers, so it sees room that is split over workers or racks as the planner will. It does not know work that
 * arrives later, nor the later steps of waiting jobs.
 */
internal class RoomForecast(
    private val input: PlanningInput,
    plan: WorkPlan,
    knownWorkers: Collection<WorkerView>,
    val nowMillis: Long,
) {
    private val reports = knownWorkers.filterNot { it.departed }
        .mapNotNull { it.report }
        .filterNot { it.draining }
        .sortedBy { it.ref.id }

    /** Number of workers that do not leave. */
    val workerCount: Int get() = reports.size

    /** Capacity of the largest of them. */
    val largestWorker: Resources = reports.maxByOrNull { it.capacity.weightMilliCores }?.capacity ?: Resources.NONE

    private val indices = reports.withIndex().associate { (index, report) -> report.ref.id to index }
    private val free = reports.map { it.capacity }.toMutableList()
    private val ends = ArrayList<Release>()
    private val endsWithPreemption = ArrayList<Release>()
    private val reserved = FleetCapacity.of(input.workers, input.jobs, nowMillis).workersToReserve(input.urgentReserve)
    private val waiting: List<WaitingItem>
    private val shapes = HashMap<List<Any?>, Int>()
    private val known = HashMap<List<Any?>, KnownStart>()

    init {
        for (job in input.jobs) {
            for ((id, task) in job.assigned()) {
                val leftMillis = job.remainingMillis(id, task, input.progress[TaskRun(id, task.run)], nowMillis)
                occupy(job, job.needOf(id), task.worker?.id, leftMillis)
            }
        }
        val jobs = input.jobs.associateBy { it.id }
        for (assignment in plan.assignments) {
            val job = jobs[assignment.step.job] ?: continue
            val millis = START_MILLIS + input.durations.taskMillis(job, assignment.step.step)
            assignment.workers.values.forEach {
                occupy(job, job.spec.steps[assignment.step.step].reserved, it.id, millis)
            }
        }
        val placed = plan.assignments.groupBy({ it.step }, { it.workers.keys }).mapValues { it.value.flatten().toSet() }
        val steps = input.orderedSteps(input.jobs, emptySet(), nowMillis)
        val ranks = input.accountRanks(steps)
        waiting = steps.mapNotNull { step ->
            val count = step.tasks.count { it !in placed[step.id].orEmpty() }
            if (count > 0) item(step, count, ranks[step] ?: 0) else null
        }
    }

    private fun item(step: WaitingStep, count: Int, rank: Int): WaitingItem {
        val spec = step.spec
        val whole = if (spec.gang || spec.rackSensitive) count else 0
        val places = listOf(step.job.service, spec.constraint, spec.dataRack, spec.rackSensitive)
        val size = listOf(spec.reserved, spec.maxTasksPerWorker, whole, step.priority == URGENT)
        val shape = shapes.getOrPut(places + size) { shapes.size }
        return WaitingItem(step, count, input.durations.taskMillis(step.job, step.id.step), rank, shape)
    }

    private fun occupy(job: JobRecord, amount: Resources, worker: String?, leftMillis: Long) {
        val index = indices[worker] ?: return
        free[index] -= amount
        ends += Release(nowMillis + leftMillis, index, amount)
        val preemptedMillis =
            if (job.policy.priority == URGENT) leftMillis else minOf(leftMillis, input.limits.preemptionMillis)
        endsWithPreemption += Release(nowMillis + preemptedMillis, index, amount)
    }

    /**
     * Returns when the first step of [job] could start with all its tasks if [accepted] wait as well, or
     * [HORIZON_MILLIS] from now if that is later.
     *
     * Room of work that an urgent job may preempt counts as free after a preemption.
     */
    fun startMillis(job: JobRecord, accepted: Collection<JobRecord>): Long {
        val step = job.waitingSteps(nowMillis).first()
        val candidate = item(step, step.tasks.size, rank(step))
        val places = listOf(job.service, step.spec.constraint, step.spec.dataRack, step.spec.gang)
        val size = Int.SIZE_BITS - candidate.taskCount.countLeadingZeroBits()
        val kind = places + listOf(job.queue, candidate.rank, step.spec.reserved.accelerators, size)
        val earlier = known[kind]?.takeIf { accepted.size - it.acceptedCount < MAX_ACCEPTED_UNSEEN }
        return earlier?.startMillis
            ?: compute(candidate, accepted).also { known[kind] = KnownStart(accepted.size, it) }
    }

    /** A start that was computed for a job of the same queue, rank and approximate size. */
    private class KnownStart(val acceptedCount: Int, val startMillis: Long)

    private fun compute(candidate: WaitingItem, accepted: Collection<JobRecord>): Long {
        val added = accepted.mapNotNull { it.waitingSteps(nowMillis).firstOrNull() }
            .map { item(it, it.tasks.size, rank(it)) }
        val releases = if (candidate.priority == URGENT) endsWithPreemption else ends
        val room = FreeRoom(reports, free, releases, reserved)
        val items = (waiting + added + candidate).filter { it.priority <= candidate.priority }
        return Replay(items, candidate, room).startMillis()
    }

    private fun rank(step: WaitingStep): Int {
        if (SchedulingFeature.FAIR_SHARING !in input.features) return 0
        val ahead = waiting.filter { it.step.job.account == step.job.account }.fold(ResourceTime.NONE) { sum, item ->
            sum + ResourceTime.of(item.spec.reserved, item.taskMillis.toDouble() * item.taskCount)
        }
        return input.accountOrder.rankAfter(step.job.account, ahead)
    }

    private inner class Replay(
        items: List<WaitingItem>,
        private val candidate: WaitingItem,
        private val room: FreeRoom,
    ) {
        private val left = items.associateWithTo(HashMap()) { it.taskCount }
        private val groups =
            items.groupBy { it.priority }.toSortedMap().values.map { it.sortedWith(WaitingItem.ORDER).toMutableList() }

        fun startMillis(): Long {
            var atMillis = nowMillis
            while (atMillis < nowMillis + HORIZON_MILLIS) {
                room.advance(atMillis)
                val full = ArrayList<WaitingItem>()
                for (group in groups) {
                    group.filter { atMillis <= it.latestStartMillis }.forEach { place(it, atMillis, full) }
                    group.filter { it.latestStartMillis < atMillis && atMillis < it.uselessFromMillis }
                        .forEach { place(it, atMillis, full) }
                    group.removeAll { left.getValue(it) == 0 }
                }
                // Work that is of no use any more runs after all other work, but the forecast is for this job itself.
                if (candidate.uselessFromMillis <= atMillis) place(candidate, atMillis, full)
                if (left.getValue(candidate) == 0) return atMillis
                atMillis += if (atMillis - nowMillis < FINE_MILLIS) FINE_STEP_MILLIS else COARSE_STEP_MILLIS
            }
            return atMillis
        }

        private fun place(item: WaitingItem, atMillis: Long, full: MutableList<WaitingItem>) {
            val count = left.getValue(item)
            if (count == 0 || full.any { it.rulesOut(item) }) return
            val placed = room.place(item, count, atMillis)
            left[item] = count - placed
            if (placed < count) full += item
        }
    }

    companion object {
        /** Two objectives of the longest queue of the operators' deployments; a later start is of no use to anybody. */
        const val HORIZON_MILLIS = 45_000L

        /** A step within the objective of urgent jobs, and one within that of the others. */
        private const val FINE_STEP_MILLIS = 500L
        private const val COARSE_STEP_MILLIS = 2_000L
        private const val FINE_MILLIS = 10_000L

        /** A burst sends many like jobs between two plans; each of a few more moves the start by less than a step. */
        private const val MAX_ACCEPTED_UNSEEN = 4
    }
}
