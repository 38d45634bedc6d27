package org.auburnlever.workload

/** What to start, and which runs to stop to make room for urgent jobs. */
data class WorkPlan(val assignments: List<Assignment>, val displaced: List<TaskRun>)

/**
 * Decides which waiting tasks start now on which of [workers].
 *
 * [stopping] are runs that have been told to stop. Work that is not urgent leaves [urgentReserve] accelerators free
 * while more than half of the fleet is in use, so that a stream of small urgent jobs does not have to displace it.
 */
fun planWork(
    jobs: Collection<JobRecord>,
    workers: Collection<WorkerView>,
    stopping: Set<TaskRun>,
    urgentReserve: Int,
    nowMillis: Long,
): WorkPlan {
    val room = FleetRoom.of(workers, jobs)
    val planner = WorkPlanner(room, jobs, stopping, room.reserve(urgentReserve), nowMillis)
    jobs.asSequence()
        .filter { it.phase == JobPhase.ACTIVE }
        .flatMap { it.waitingSteps(nowMillis) }
        .sortedWith(waitingOrder(nowMillis))
        .forEach(planner::consider)
    return WorkPlan(planner.assignments, planner.displaced.toList())
}

/**
 * Urgent jobs first; then those that can still meet their objective, earliest objective first; then the late ones,
 * shortest first, since each of them is worth about the same small amount.
 */
private fun waitingOrder(nowMillis: Long): Comparator<WaitingStep> = compareBy(
    { it.priority },
    { it.isLate(nowMillis) },
    { if (it.isLate(nowMillis)) it.job.chainMillis() else it.job.objectiveMillis() },
    { it.id.toString() },
)

private fun WaitingStep.isLate(nowMillis: Long): Boolean = nowMillis + spec.estimatedMillis > job.objectiveMillis()

/** Steps of the due occurrences that have tasks to start; a gang only when none of its members is assigned. */
internal fun JobRecord.waitingSteps(nowMillis: Long): List<WaitingStep> =
    (0 until spec.occurrenceCount).filter { spec.dueMillis(it) <= nowMillis }.flatMap { occurrence ->
        val records = steps(occurrence)
        spec.steps.indices.mapNotNull { waitingStep(StepId(id, occurrence, it), records[it]) }
    }

private fun JobRecord.waitingStep(id: StepId, record: StepRecord): WaitingStep? {
    val stepSpec = spec.steps[id.step]
    val waiting = record.tasks.indices.filter { record.tasks[it].phase == TaskPhase.WAITING }
    val whole = !stepSpec.gang || waiting.size == record.tasks.size
    return if (waiting.isNotEmpty() && whole && ready(id)) WaitingStep(this, id, stepSpec, waiting) else null
}

/** Priority of the jobs that may displace others. */
internal const val URGENT = 0

/** Runs that end together when one of them is stopped. */
private class Displaceable(val runs: List<Pair<TaskRun, WorkerRef>>, val need: Resources, val costMillis: Long)

private class WorkPlanner(
    private val room: FleetRoom,
    private val jobs: Collection<JobRecord>,
    private val stopping: Set<TaskRun>,
    private val reserved: Set<String>,
    private val nowMillis: Long,
) {
    val assignments = ArrayList<Assignment>()
    val displaced = LinkedHashSet<TaskRun>()
    private val taken = HashSet<TaskRun>(stopping)

    fun consider(step: WaitingStep) {
        val placed = placeNow(step)
        if (placed.isNotEmpty()) assignments += Assignment(step.id, step.nextRun, placed)
        if (step.priority == URGENT && placed.size < step.tasks.size) makeRoom(step, placed.size)
    }

    private fun placeNow(step: WaitingStep): Map<Int, WorkerRef> {
        for (candidates in step.choices().map { step.permitted(it) }) {
            val fits = room.trial { room.place(step, candidates).size }
            if (fits == step.tasks.size) return room.place(step, candidates)
        }
        return if (step.spec.gang) emptyMap() else room.place(step, step.permitted(room.workers))
    }

    private fun WaitingStep.permitted(candidates: List<RoomOnWorker>): List<RoomOnWorker> =
        if (priority == URGENT) candidates else candidates.filter { it.ref.id !in reserved }

    /** Sets of workers to try in order: single racks, the fullest first, if the step is faster there; then all. */
    private fun WaitingStep.choices(): List<List<RoomOnWorker>> {
        val dataRack = spec.dataRack?.let { room.racks[it] }
        val single = when {
            dataRack != null -> listOf(dataRack)
            spec.rackSensitive && tasks.size > 1 ->
                room.racks.values.sortedBy { rack -> rack.sumOf { it.free.accelerators } }
            else -> emptyList()
        }
        return if (single.isEmpty() || !fitsEmpty(single)) single + listOf(room.workers) else single
    }

    /** Whether the step would fit into one of [racks] if nothing else ran there. */
    private fun WaitingStep.fitsEmpty(racks: List<List<RoomOnWorker>>): Boolean = room.trial {
        room.workers.forEach { it.free = it.report.capacity }
        racks.any { rack -> room.trial { room.place(this, rack).size } == tasks.size }
    }

    /** Finds the cheapest runs of lower priority to stop, and keeps the room for [step] until they have ended. */
    private fun makeRoom(step: WaitingStep, placedCount: Int) {
        val missing = WaitingStep(step.job, step.id, step.spec, step.tasks.drop(placedCount))
        val choices = missing.choices().map { candidates -> candidates to victims(missing, candidates) }
        val (candidates, victims) = choices
            .filter { it.second != null }
            .minByOrNull { (_, victims) -> victims.orEmpty().sumOf { it.costMillis } }
            ?: return
        release(victims.orEmpty())
        room.place(missing, candidates)
        // Room that is still in use must not go to another step, even if this one was placed beside it.
        withhold(victims.orEmpty())
        displaced += victims.orEmpty().flatMap { it.runs }.map { it.first }.filter { it !in stopping }
    }

    private fun victims(step: WaitingStep, candidates: List<RoomOnWorker>): List<Displaceable>? = room.trial {
        val chosen = ArrayList<Displaceable>()
        val ids = candidates.map { it.ref.id }.toSet()
        val offered = displaceable(step.priority)
            .filter { victim -> victim.runs.any { it.second.id in ids } }
            .sortedBy { it.costMillis }
            .iterator()
        var enough = room.trial { room.place(step, candidates).size } == step.tasks.size
        while (!enough && offered.hasNext()) {
            val next = offered.next()
            chosen += next
            release(listOf(next))
            enough = room.trial { room.place(step, candidates).size } == step.tasks.size
        }
        chosen.takeIf { enough }
    }

    private fun release(victims: List<Displaceable>) = victims.forEach { victim ->
        victim.runs.forEach { (_, worker) -> room.worker(worker.id)?.let { it.free += victim.need } }
    }

    private fun withhold(victims: List<Displaceable>) = victims.forEach { victim ->
        victim.runs.forEach { (_, worker) -> room.worker(worker.id)?.let { it.free -= victim.need } }
    }

    private fun displaceable(priority: Int): List<Displaceable> = jobs.flatMap { job ->
        val lower = job.policy.priority > priority
        job.assigned().groupBy { (id, _) -> if (job.spec.steps[id.step].gang) id.stepId else id }.values
            .map { tasks -> job.unit(tasks) }
            .filter { unit -> lower || unit.runs.all { it.first in taken } }
            .filter { unit -> unit.runs.none { it.first in displaced } }
    }

    private fun JobRecord.unit(tasks: List<Pair<TaskId, TaskRecord>>): Displaceable {
        val runs = tasks.mapNotNull { (id, task) -> task.worker?.let { TaskRun(id, task.run) to it } }
        val stopped = runs.all { it.first in stopping }
        val first = tasks.first().first
        val elapsed = tasks.sumOf { (_, task) -> RESTART_MILLIS + maxOf(0, nowMillis - task.assignedMillis) }
        val weight = needOf(first).let { it.milliCores + it.accelerators * CORES_PER_ACCELERATOR * MILLI }
        return Displaceable(runs, needOf(first), if (stopped) 0 else elapsed * weight + 1)
    }

    private companion object {
        /** Relation in which the operators weigh an accelerator against cores. */
        const val CORES_PER_ACCELERATOR = 8
        const val MILLI = 1_000

        /** What a stop costs besides the work done so far: the stop, the wait and the next start take about 2 s. */
        const val RESTART_MILLIS = 2_000L
    }
}
