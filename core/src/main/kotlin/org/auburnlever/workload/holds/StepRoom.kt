package org.auburnlever.workload.holds

import org.auburnlever.workload.planning.WaitingStep

/**
 * The room for a step beside what runs.
 *
 * @property tasks number of tasks of the step that wait for room
 * @property workersWithRoom number of usable workers with room for a task
 * @property workersKept number of further workers that would have room, by the rules that keep it
 * @property noRoom why the waiting tasks have no room together; null if they have
 */
internal data class StepRoom(
    val tasks: Int,
    val workersWithRoom: Int,
    val workersKept: Map<HoldRule, Int>,
    val noRoom: WaitingKind?,
)

/** Returns the room for [step]. */
internal fun FleetRoom.roomFor(step: WaitingStep): StepRoom {
    val usable = pool(step).filter { it.absence == null }
    val (open, full) = usable.partition { it.openTasks(step) > 0 }
    val rules = full.filter { it.freeTasks(step) > 0 }.flatMap { worker ->
        worker.holdsAgainst(step).map { it.rule }.distinct()
    }
    return StepRoom(
        tasks = step.tasks.size,
        workersWithRoom = open.size,
        workersKept = rules.groupingBy { it }.eachCount().toSortedMap(),
        noRoom = RoomReasons(this).reasonOf(step)?.kind,
    )
}
