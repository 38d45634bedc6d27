package org.auburnlever.placement

import org.auburnlever.ledger.GangPlacement
import org.auburnlever.ledger.TaskPlacement
import org.auburnlever.model.Shape
import org.auburnlever.model.Spread
import org.auburnlever.model.WorkerName

/**
 * Finds the placement with the lowest cost for a gang of [shape], or null if it does not fit; allocates nothing.
 *
 * Workers of [avoid] are not used. A gang of several tasks is packed onto few, preferably neighbouring, workers.
 */
internal fun Capacity.findPlacement(shape: Shape, avoid: Set<WorkerName> = emptySet()): GangPlacement? = when {
    !mayFit(shape) -> null
    shape.spread == Spread.WORKER || shape.taskCount == 1 -> findOnOneWorker(shape, avoid)
    shape.spread == Spread.RACK -> findOnOneWorker(shape, avoid) ?: findInOneRack(shape, avoid)
    else -> findOnOneWorker(shape, avoid) ?: findInOneRack(shape, avoid) ?: findAnywhere(shape, avoid)
}

private fun Capacity.findOnOneWorker(shape: Shape, avoid: Set<WorkerName>): GangPlacement? {
    var best: WorkerCapacity? = null
    var bestCost = Double.MAX_VALUE
    workers.forEach { worker ->
        if (worker.accepts(shape, avoid) && worker.tasksThatFit(shape, shape.taskCount) >= shape.taskCount) {
            val cost = worker.cost(shape, shape.taskCount, weights)
            if (cost < bestCost) {
                best = worker
                bestCost = cost
            }
        }
    }
    return best?.let { gangPlacement(listOf(WorkerTasks(it, shape.taskCount)), shape) }
}

/**
 * Whether tasks of [shape] may be placed here.
 *
 * A worker on probation gets one single-task job at a time, so that its failure harms little.
 */
private fun WorkerCapacity.accepts(shape: Shape, avoid: Set<WorkerName>): Boolean =
    name !in avoid && (!probation || shape.taskCount == 1 && freeMask == allMask)

private fun Capacity.findInOneRack(shape: Shape, avoid: Set<WorkerName>): GangPlacement? = racks
    .mapNotNull { rack -> distribute(rack, shape, avoid) }
    .minByOrNull { assigned -> assigned.sumOf { it.worker.cost(shape, it.count, weights) } }
    ?.let { gangPlacement(it, shape) }

private fun Capacity.findAnywhere(shape: Shape, avoid: Set<WorkerName>): GangPlacement? =
    distribute(workers, shape, avoid)?.let { gangPlacement(it, shape) }

/** Assigns [count] tasks of the gang to [worker]. */
private class WorkerTasks(val worker: WorkerCapacity, val count: Int)

/**
 * Distributes the tasks over [candidates], which are in order of position.
 *
 * Repeatedly takes the worker that can hold the most tasks, among equals the one nearest to the last taken, and for the
 * remainder the worker with the lowest cost.
 */
private fun Capacity.distribute(
    candidates: List<WorkerCapacity>,
    shape: Shape,
    avoid: Set<WorkerName>,
): List<WorkerTasks>? {
    val fits = candidates.filter { it.accepts(shape, avoid) }
        .map { WorkerTasks(it, it.tasksThatFit(shape, shape.taskCount)) }
        .filter { it.count > 0 }
        .toMutableList()
    return if (fits.sumOf { it.count.toLong() } < shape.taskCount) null else chooseWorkers(fits, shape)
}

private fun Capacity.chooseWorkers(fits: MutableList<WorkerTasks>, shape: Shape): List<WorkerTasks> {
    val chosen = mutableListOf<WorkerTasks>()
    var rest = shape.taskCount
    while (rest > 0) {
        val last = chosen.lastOrNull()?.worker?.position
        val enough = fits.filter { it.count >= rest }
        val next = enough.minByOrNull { it.worker.cost(shape, rest, weights) }
            ?: checkNotNull(fits.maxWithOrNull(compareBy({ it.count }, { -distance(it.worker, last) })))
        fits.remove(next)
        val assigned = WorkerTasks(next.worker, minOf(rest, next.count))
        chosen += assigned
        rest -= assigned.count
    }
    return chosen
}

private fun distance(worker: WorkerCapacity, position: Int?): Int =
    if (position == null) 0 else kotlin.math.abs(worker.position - position)

private fun gangPlacement(assigned: List<WorkerTasks>, shape: Shape): GangPlacement {
    val tasks = mutableListOf<TaskPlacement>()
    assigned.forEach { tasksOfWorker ->
        val scratch = tasksOfWorker.worker.copyOf()
        repeat(tasksOfWorker.count) { tasks += scratch.allocateTask(shape) }
    }
    return GangPlacement(tasks)
}
