package org.auburnlever.workload.planning

import org.auburnlever.workload.placement.ScarcePlacement
import org.auburnlever.workload.state.WorkerRef

/** Returns whether all tasks of [step] fit on [candidates] at the same time. */
internal fun fits(step: WaitingStep, candidates: List<WorkerCapacity>): Boolean {
    val apart = idleWorkersFor(step, candidates)
    if (apart.values.sum() < step.alone.size) return false
    var missing = step.tasks.size - step.alone.size
    for (worker in candidates) {
        if (missing <= 0) break
        if (worker !in apart) missing -= minOf(missing, worker.maxTasksOf(step))
    }
    return missing <= 0
}

/**
 * Returns idle workers for the tasks that run alone, each with the number of tasks that it gets.
 *
 * Members of a gang share workers, since a crash fails the same job whichever of them caused it.
 */
private fun idleWorkersFor(step: WaitingStep, candidates: List<WorkerCapacity>): Map<WorkerCapacity, Int> {
    if (step.alone.isEmpty()) return emptyMap()
    val apart = LinkedHashMap<WorkerCapacity, Int>()
    var missing = step.alone.size
    for (worker in candidates) {
        if (missing <= 0) break
        val room = if (worker.idle) worker.maxTasksOf(step) else 0
        val count = minOf(missing, if (step.spec.gang) room else minOf(room, 1))
        if (count > 0) apart[worker] = count
        missing -= count
    }
    return apart
}

/**
 * Places as many tasks of [step] on [candidates] as fit, allocates their resources, and returns the workers by task
 * index.
 *
 * A gang is placed as a whole or not at all. Tasks that run alone get idle workers. The others go to the worker with
 * the fewest free accelerators first, so that whole workers stay free for large tasks, or where [scarcity] says.
 */
internal fun place(
    step: WaitingStep,
    candidates: List<WorkerCapacity>,
    scarcity: ScarcePlacement? = null,
): Map<Int, WorkerRef> {
    val placed = LinkedHashMap<Int, WorkerRef>()
    if (step.spec.gang && !fits(step, candidates)) return placed
    val suspected = step.alone.iterator()
    for ((worker, count) in idleWorkersFor(step, candidates)) {
        repeat(count) { placed[suspected.next()] = worker.ref }
        worker.allocateRest()
    }
    val waiting = step.tasks.filter { it !in step.alone }.iterator()
    if (scarcity != null) {
        scarcity.place(step, candidates).workers.forEach { placed[waiting.next()] = it.ref }
    } else {
        placeOnFullest(step, candidates, waiting, placed)
    }
    return placed
}

private fun placeOnFullest(
    step: WaitingStep,
    candidates: List<WorkerCapacity>,
    waiting: Iterator<Int>,
    placed: MutableMap<Int, WorkerRef>,
) {
    val fullestFirst = candidates.filter { it.maxTasksOf(step) > 0 }
        .sortedWith(compareBy({ it.free.accelerators }, { it.free.milliCores }))
    for (worker in fullestFirst) {
        var remaining = worker.maxTasksOf(step)
        while (remaining > 0 && waiting.hasNext()) {
            worker.allocate(step.spec.reserved)
            placed[waiting.next()] = worker.ref
            remaining -= 1
        }
    }
}

/** Returns how many tasks of [step] fit into the free resources and are allowed by the step's limit. */
internal fun WorkerCapacity.maxTasksOf(step: WaitingStep): Int {
    val need = step.spec.reserved
    return if (free.holds(need)) minOf(free.count(need), step.allowedOn(this)) else 0
}
