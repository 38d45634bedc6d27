package org.auburnlever.ledger

import org.auburnlever.model.Shape
import org.auburnlever.model.WorkerName

/** Capacity of the usable workers that remains after placements of guaranteed shapes were allocated from it. */
internal class RemainingCapacity(private val workers: Map<WorkerName, WorkerRecord>, private val nowMillis: Long) {
    private val masks = mutableMapOf<WorkerName, Long>()
    private val cores = mutableMapOf<WorkerName, Long>()
    private val memoryMiB = mutableMapOf<WorkerName, Long>()

    fun allocate(shape: Shape, placement: GangPlacement?) = placement?.tasks.orEmpty().forEach { task ->
        masks.merge(task.worker, task.mask()) { a, b -> a or b }
        cores.merge(task.worker, shape.coresPerTask.toLong(), Long::plus)
        memoryMiB.merge(task.worker, shape.memoryMiBPerTask, Long::plus)
    }

    fun fits(shape: Shape, placement: GangPlacement): Boolean =
        shapeProblem(shape, placement, workers) == null &&
            placement.tasks.groupBy { it.worker }.all { (name, tasks) -> fits(workers.getValue(name), shape, tasks) }

    private fun fits(worker: WorkerRecord, shape: Shape, tasks: List<TaskPlacement>): Boolean {
        val mask = tasks.fold(0L) { sum, task -> sum or task.mask() }
        val newCores = (cores[worker.name] ?: 0) + tasks.size.toLong() * shape.coresPerTask
        val newMemoryMiB = (memoryMiB[worker.name] ?: 0) + tasks.size * shape.memoryMiBPerTask
        val hasAccelerators = mask and (worker.allMask and (masks[worker.name] ?: 0L).inv()).inv() == 0L
        return worker.isUsable(nowMillis) && hasAccelerators &&
            newCores <= worker.cores && newMemoryMiB <= worker.memoryMiB
    }
}
