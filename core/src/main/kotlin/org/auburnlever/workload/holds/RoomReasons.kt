package org.auburnlever.workload.holds

import org.auburnlever.model.ServiceName
import org.auburnlever.workload.planning.WaitingStep
import org.auburnlever.workload.state.Resources
import org.auburnlever.workload.state.StepSpec

/** Finds why the steps that a plan leaves waiting have no room; like steps share one answer. */
internal class RoomReasons(private val fleet: FleetRoom) {
    private val owners = fleet.workers.flatMap { worker -> worker.holds.map { it.owner } }.toSet()
    private val pools = HashMap<Pair<ServiceName, String?>, List<WorkerRoom>>()
    private val reasons = HashMap<List<Any?>, WaitingReason?>()

    /** Returns why [step] has no room; null if it has. */
    fun reasonOf(step: WaitingStep): WaitingReason? {
        val own = step.id.takeIf { "$it" in owners || step.countsOnWorkers.isNotEmpty() || step.alone.isNotEmpty() }
        val needed = if (step.spec.gang || step.spec.isRackBound) step.tasks.size else 1
        val spec = step.spec
        val kind = listOf(spec.reserved, spec.maxTasksPerWorker, spec.constraint, spec.gang, spec.rackSensitive)
        val key = kind + listOf(step.job.service, step.priority, spec.dataRack, needed, own)
        return reasons.getOrPut(key) { find(step) }
    }

    private fun find(step: WaitingStep): WaitingReason? {
        val pool = pools.getOrPut(step.job.service to step.spec.constraint) { fleet.pool(step) }
        val whole = Room(listOf(pool), step, if (step.spec.gang) step.tasks.size else 1)
        val racks = racksFor(step, pool)
        val mayWaitForRack = racks != null && (step.spec.gang || whole.open)
        val room = if (mayWaitForRack) Room(racks.orEmpty(), step, step.tasks.size) else whole
        return when {
            room.open -> null
            room.free -> WaitingReason.RoomKept(room.holds())
            whole.open -> WaitingReason.Rack(step.spec.dataRack)
            !room.possible -> impossible(step, room)
            step.alone.isNotEmpty() -> WaitingReason.IdleWorker(step.idleWorkerWaitEndMillis)
            room.freeWithAbsent -> WaitingReason.WorkersAbsent(room.absences(), room.holds())
            else -> WaitingReason.NoRoom(room.needed, room.openTasks, room.holds())
        }
    }

    private fun impossible(step: WaitingStep, room: Room): WaitingReason = if (fleet.notReported > 0) {
        WaitingReason.WorkersAbsent(mapOf(Absence.NOT_REPORTED to fleet.notReported), room.holds())
    } else {
        WaitingReason.NoSuitableWorker("${step.job.service}", step.spec.constraint)
    }

    /** Returns the racks of which one has to hold the whole step; null if the step may be spread. */
    private fun racksFor(step: WaitingStep, pool: List<WorkerRoom>): List<List<WorkerRoom>>? {
        if (step.alone.isNotEmpty() || !step.spec.isRackBound) return null
        val racks = pool.groupBy { it.report.rack }
        val counting = step.spec.dataRack?.let { racks[it] }?.let(::listOf)
            ?: if (step.spec.rackSensitive && step.tasks.size > 1) racks.values.toList() else emptyList()
        val usable = counting.map { rack -> rack.filter { it.absence == null } }
        return counting.takeIf { usable.any { rack -> rack.sumOf { it.possibleTasks(step) } >= step.tasks.size } }
    }
}

/** Whether the tasks run faster on a certain rack or on a single one. */
private val StepSpec.isRackBound: Boolean get() = dataRack != null || rackSensitive

/** Returns the workers that may run [step], whether or not they can be used now. */
internal fun FleetRoom.pool(step: WaitingStep): List<WorkerRoom> {
    val constraint = step.spec.constraint
    return workers.filter {
        it.report.service == step.job.service && (constraint == null || constraint in it.report.labels)
    }
}

/** The room for [needed] tasks of [step] in one of the sets of workers. */
private class Room(private val sets: List<List<WorkerRoom>>, private val step: WaitingStep, val needed: Int) {
    private val usable = sets.map { set -> set.filter { it.absence == null } }

    /** Number of tasks for which there is room in the best set. */
    val openTasks = usable.maxOfOrNull { set -> set.sumOf { it.openTasks(step) } } ?: 0
    val open = openTasks >= needed
    val free get() = usable.any { set -> set.sumOf { it.freeTasks(step) } >= needed }
    val freeWithAbsent get() = sets.any { set -> set.sumOf { it.freeTasks(step) } >= needed }
    val possible get() = sets.any { set -> set.sumOf { it.possibleTasks(step) } >= needed }

    /** Returns the holds without which more tasks would fit. */
    fun holds(): List<RoomHold> = usable.flatten()
        .filter { it.freeTasks(step) > it.openTasks(step) }
        .flatMap { it.holdsAgainst(step) }
        .filter { it.room != Resources.NONE }

    fun absences(): Map<Absence, Int> = sets.flatten()
        .filter { it.freeTasks(step) > 0 }
        .mapNotNull { it.absence }
        .groupingBy { it }
        .eachCount()
        .toSortedMap()
}
