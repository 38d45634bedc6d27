package org.auburnlever.workload

/**
 * Places the tasks of [step] on [candidates] and takes their room; the workers by task index, empty if none fits.
 *
 * A gang is placed whole or not at all. Each task goes to the worker on which the fewest accelerators stay free, so
 * that large tasks find whole workers.
 */
internal fun FleetRoom.place(step: WaitingStep, candidates: List<RoomOnWorker>): Map<Int, WorkerRef> {
    val usable = candidates.filter(step::permits)
    val need = step.spec.reserved
    val counts = step.countsOnWorkers()
    val placed = LinkedHashMap<Int, WorkerRef>()
    if (step.spec.gang && usable.sumOf { it.roomFor(step, counts) } < step.tasks.size) return placed
    for (index in step.tasks) {
        val best = usable.filter { it.free.holds(need) && step.below(counts[it.ref.id] ?: 0) }
            .minWithOrNull(compareBy({ it.free.accelerators }, { it.free.milliCores }))
            ?: break
        best.free -= need
        counts.merge(best.ref.id, 1, Int::plus)
        placed[index] = best.ref
    }
    return placed
}

private fun RoomOnWorker.roomFor(step: WaitingStep, counts: Map<String, Int>): Int {
    val byRoom = free.count(step.spec.reserved)
    val limit = step.spec.maxTasksPerWorker
    return if (limit > 0) minOf(byRoom, limit - (counts[ref.id] ?: 0)).coerceAtLeast(0) else byRoom
}

private fun WaitingStep.below(count: Int): Boolean =
    spec.maxTasksPerWorker <= 0 || count < spec.maxTasksPerWorker

private fun WaitingStep.countsOnWorkers(): MutableMap<String, Int> =
    job.step(id)?.tasks.orEmpty()
        .mapNotNull { it.worker?.id }
        .groupingBy { it }
        .eachCount()
        .toMutableMap()
