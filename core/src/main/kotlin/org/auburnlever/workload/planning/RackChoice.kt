package org.auburnlever.workload.planning

/** Chooses the sets of workers on which a step may be placed, and remembers which kinds of steps fit into one rack. */
internal class RackChoice {
    private val fitsOneRack = HashMap<List<Any?>, Boolean>()

    /**
     * Returns the sets of workers of [pool] to try for [step], in order.
     *
     * If the step runs faster on a single rack, these are its data rack or else each rack, the fullest first. All
     * workers together follow only if there are no such racks or the step would not fit into any of them. Tasks that
     * run alone go wherever a worker is idle.
     */
    fun candidateSets(step: WaitingStep, pool: WorkerPool): List<List<WorkerCapacity>> {
        if (step.alone.isNotEmpty()) return listOf(pool.workers)
        val dataRack = step.spec.dataRack?.let { pool.racks[it] }
        val racks = when {
            dataRack != null -> listOf(dataRack)
            step.spec.rackSensitive && step.tasks.size > 1 ->
                pool.racks.values.map { rack -> rack to rack.sumOf { it.free.accelerators } }
                    .sortedBy { (_, accelerators) -> accelerators }
                    .map { (rack, _) -> rack }
            else -> emptyList()
        }
        return if (racks.isEmpty() || !fitsOneRack(step, racks)) racks + listOf(pool.workers) else racks
    }

    /** Returns whether the step would fit into one of [racks] if nothing else ran there. */
    private fun fitsOneRack(step: WaitingStep, racks: List<List<WorkerCapacity>>): Boolean {
        val spec = step.spec
        val kind = listOf(spec.reserved, spec.maxTasksPerWorker, step.tasks.size, spec.dataRack, spec.constraint)
        return fitsOneRack.getOrPut(kind + step.job.service + (step.priority == URGENT)) {
            racks.any { couldHold(it, step) }
        }
    }
}

/** Returns whether all tasks of [step] would fit on [workers] if nothing else ran there. */
internal fun couldHold(workers: List<WorkerCapacity>, step: WaitingStep): Boolean {
    val spec = step.spec
    val bound = if (spec.maxTasksPerWorker > 0) spec.maxTasksPerWorker else Int.MAX_VALUE
    return workers.sumOf { minOf(it.report.capacity.count(spec.reserved), bound, step.tasks.size) } >= step.tasks.size
}
