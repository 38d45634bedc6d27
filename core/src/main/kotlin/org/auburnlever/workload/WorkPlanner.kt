package org.auburnlever.workload

/** Priority of the jobs that may displace others. */
internal const val URGENT = 0

/** Makes one plan: considers steps in order and takes their room; workers in [reserved] are for urgent steps only. */
internal class WorkPlanner(
    private val room: FleetRoom,
    private val displacements: Displacements,
    private val stopping: Set<TaskRun>,
    private val reserved: Set<String>,
) {
    val assignments = ArrayList<Assignment>()
    val displacedFor = LinkedHashMap<TaskRun, StepId>()
    private val fitsOneRack = HashMap<List<Any?>, Boolean>()
    private var heldGangs = 0

    /** Starts what fits of [step]; an urgent one gets the room that is missing as soon as other work has stopped. */
    fun consider(step: WaitingStep) {
        val placed = placeNow(step)
        if (placed.isNotEmpty()) assignments += Assignment(step.id, step.nextRun, placed)
        when {
            placed.size == step.tasks.size -> Unit
            step.priority == URGENT -> makeRoom(step, placed.size)
            step.spec.gang && heldGangs < MAX_HELD_GANGS -> holdRoom(step)
        }
    }

    /**
     * Keeps the free room of the rack that lacks the least for a waiting gang. Without it, small tasks take each piece
     * of room as it becomes free, and a gang that needs several whole workers never starts.
     */
    private fun holdRoom(step: WaitingStep) {
        heldGangs += 1
        val parts = WaitingStep(step.job, step.id, step.spec.copy(gang = false), step.tasks)
        val best = choices(step).maxByOrNull { candidates -> room.trial { place(parts, candidates).size } }
        if (best != null) place(parts, best)
    }

    private fun placeNow(step: WaitingStep): Map<Int, WorkerRef> {
        if (pool(step).isFullFor(step.spec.reserved)) return emptyMap()
        val whole = choices(step).firstOrNull { fits(step, it) }
        return when {
            whole != null -> place(step, whole)
            step.spec.gang -> emptyMap()
            else -> place(step, pool(step).workers)
        }
    }

    private fun pool(step: WaitingStep): WorkerPool {
        val except = if (step.priority == URGENT) emptySet() else reserved
        return room.pool(step.job.service, step.spec.constraint, except)
    }

    /** Sets of workers to try in order: single racks, the fullest first, if the step is faster there; then all. */
    private fun choices(step: WaitingStep): List<List<RoomOnWorker>> {
        val pool = pool(step)
        val dataRack = step.spec.dataRack?.let { pool.racks[it] }
        val single = when {
            dataRack != null -> listOf(dataRack)
            step.spec.rackSensitive && step.tasks.size > 1 ->
                pool.racks.values.map { rack -> rack to rack.sumOf { it.free.accelerators } }
                    .sortedBy { (_, accelerators) -> accelerators }
                    .map { (rack, _) -> rack }
            else -> emptyList()
        }
        return if (single.isEmpty() || !fitsOneRack(step, single)) single + listOf(pool.workers) else single
    }

    /** Whether the step would fit into one of [racks] if nothing else ran there. */
    private fun fitsOneRack(step: WaitingStep, racks: List<List<RoomOnWorker>>): Boolean {
        val spec = step.spec
        val kind = listOf(spec.reserved, spec.maxTasksPerWorker, step.tasks.size, spec.dataRack, spec.constraint)
        return fitsOneRack.getOrPut(kind + step.job.service + (step.priority == URGENT)) {
            racks.any { rack ->
                val bound = if (spec.maxTasksPerWorker > 0) spec.maxTasksPerWorker else Int.MAX_VALUE
                rack.sumOf { minOf(it.report.capacity.count(spec.reserved), bound, step.tasks.size) } >= step.tasks.size
            }
        }
    }

    private fun makeRoom(step: WaitingStep, placedCount: Int) {
        val missing = WaitingStep(step.job, step.id, step.spec, step.tasks.drop(placedCount))
        val displacement = displacements.find(missing, choices(missing)) ?: return
        displacements.take(missing, displacement)
        val victims = displacement.victims.flatMap { it.runs }.map { it.first }
        victims.filter { it !in stopping }.forEach { displacedFor[it] = step.id }
    }

    private companion object {
        /** Each waiting gang that is held leaves room idle, so only the next few are. */
        const val MAX_HELD_GANGS = 2
    }
}
