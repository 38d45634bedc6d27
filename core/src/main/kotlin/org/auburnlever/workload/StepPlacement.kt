package org.auburnlever.workload

/** Returns whether all tasks of [step] fit on [candidates] at the same time. */
internal fun fits(step: WaitingStep, candidates: List<WorkerCapacity>): Boolean {
    var missing = step.tasks.size
    for (worker in candidates) {
        if (missing <= 0) break
        missing -= minOf(missing, worker.maxTasksOf(step))
    }
    return missing <= 0
}

/**
 * Places as many tasks of [step] on [candidates] as fit, allocates their resources, and returns the workers by task
 * index.
 *
 * A gang is placed as a whole or not at all. Tasks go to the worker with the fewest free accelerators first, so that
 * whole workers stay free for large tasks.
 */
internal fun place(step: WaitingStep, candidates: List<WorkerCapacity>): Map<Int, WorkerRef> {
    val placed = LinkedHashMap<Int, WorkerRef>()
    if (step.spec.gang && !fits(step, candidates)) return placed
    val waiting = step.tasks.iterator()
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
    return placed
}

private fun WorkerCapacity.maxTasksOf(step: WaitingStep): Int {
    val need = step.spec.reserved
    return if (free.holds(need)) minOf(free.count(need), step.allowedOn(this)) else 0
}
