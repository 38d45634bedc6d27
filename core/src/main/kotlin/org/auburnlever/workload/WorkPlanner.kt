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
    val displaced = LinkedHashSet<TaskRun>()
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
        val single = step.spec.copy(gang = false)
        val parts = WaitingStep(step.job, step.id, single, step.tasks)
        val best = choices(step).map { step.permitted(it) }
            .maxByOrNull { candidates -> room.trial { room.place(parts, candidates).size } }
        if (best != null) room.place(parts, best)
    }

    private fun placeNow(step: WaitingStep): Map<Int, WorkerRef> {
        for (candidates in choices(step).map { step.permitted(it) }) {
            val fits = room.trial { room.place(step, candidates).size }
            if (fits == step.tasks.size) return room.place(step, candidates)
        }
        return if (step.spec.gang) emptyMap() else room.place(step, step.permitted(room.workers))
    }

    private fun WaitingStep.permitted(candidates: List<RoomOnWorker>): List<RoomOnWorker> =
        if (priority == URGENT) candidates else candidates.filter { it.ref.id !in reserved }

    /** Sets of workers to try in order: single racks, the fullest first, if the step is faster there; then all. */
    private fun choices(step: WaitingStep): List<List<RoomOnWorker>> {
        val dataRack = step.spec.dataRack?.let { room.racks[it] }
        val single = when {
            dataRack != null -> listOf(dataRack)
            step.spec.rackSensitive && step.tasks.size > 1 ->
                room.racks.values.sortedBy { rack -> rack.sumOf { it.free.accelerators } }
            else -> emptyList()
        }
        return if (single.isEmpty() || !fitsEmpty(step, single)) single + listOf(room.workers) else single
    }

    /** Whether the step would fit into one of [racks] if nothing else ran there. */
    private fun fitsEmpty(step: WaitingStep, racks: List<List<RoomOnWorker>>): Boolean = room.trial {
        room.workers.forEach { it.free = it.report.capacity }
        racks.any { rack -> room.trial { room.place(step, rack).size } == step.tasks.size }
    }

    private fun makeRoom(step: WaitingStep, placedCount: Int) {
        val missing = WaitingStep(step.job, step.id, step.spec, step.tasks.drop(placedCount))
        val displacement = displacements.find(missing, choices(missing)) ?: return
        displacements.take(missing, displacement)
        displaced += displacement.victims.flatMap { it.runs }.map { it.first }.filter { it !in stopping }
    }

    private companion object {
        /** Each waiting gang that is held leaves room idle, so only the next few are. */
        const val MAX_HELD_GANGS = 2
    }
}
