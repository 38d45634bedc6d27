package org.auburnlever.ledger

import org.auburnlever.model.Shape
import org.auburnlever.model.Spread
import org.auburnlever.model.WorkerName

/** Returns why [placement] does not match [shape] (number of tasks, accelerators, overlap or spread), or null. */
internal fun shapeProblem(shape: Shape, placement: GangPlacement, workers: Map<WorkerName, WorkerRecord>): String? {
    val tasks = placement.tasks
    val racks = tasks.mapTo(mutableSetOf()) { workers[it.worker]?.rack }
    return when {
        tasks.size != shape.taskCount -> "the placement has ${tasks.size} tasks instead of ${shape.taskCount}"
        null in racks -> "a worker is unknown"
        tasks.any { !it.isContiguousRun(shape.acceleratorsPerTask) } -> "accelerators are not a contiguous run"
        overlaps(tasks) -> "two tasks share an accelerator"
        shape.spread == Spread.WORKER && tasks.any { it.worker != tasks[0].worker } -> "tasks are not on one worker"
        shape.spread == Spread.RACK && racks.size > 1 -> "tasks are not in one rack"
        else -> null
    }
}

private fun TaskPlacement.isContiguousRun(count: Int): Boolean =
    accelerators.size == count &&
        accelerators.all { it in 0 until Long.SIZE_BITS } &&
        accelerators.zipWithNext().all { (a, b) -> b == a + 1 }

private fun overlaps(tasks: List<TaskPlacement>): Boolean =
    GangPlacement(tasks).masks().values.sumOf { java.lang.Long.bitCount(it) } != tasks.sumOf { it.accelerators.size }

/** Returns a bit mask of the used accelerators for each worker of the placement. */
internal fun GangPlacement.masks(): Map<WorkerName, Long> {
    val masks = LinkedHashMap<WorkerName, Long>()
    tasks.forEach { task -> masks.merge(task.worker, task.mask()) { a, b -> a or b } }
    return masks
}

/**
 * True when a job of this shape can claim [guaranteed]: equal numbers of tasks and accelerators, at most its cores and
 * memory, and a spread that is not narrower.
 */
internal fun Shape.isCoveredBy(guaranteed: Shape): Boolean =
    taskCount == guaranteed.taskCount &&
        acceleratorsPerTask == guaranteed.acceleratorsPerTask &&
        coresPerTask <= guaranteed.coresPerTask &&
        memoryMiBPerTask <= guaranteed.memoryMiBPerTask &&
        spread >= guaranteed.spread
