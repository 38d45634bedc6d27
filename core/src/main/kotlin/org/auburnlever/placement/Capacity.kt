package org.auburnlever.placement

import org.auburnlever.ledger.GangPlacement
import org.auburnlever.ledger.GuaranteeId
import org.auburnlever.ledger.LedgerState
import org.auburnlever.ledger.WorkerRecord
import org.auburnlever.ledger.mask
import org.auburnlever.model.Shape
import org.auburnlever.model.WorkerName

/**
 * Capacity of all workers that a plan may still use; mutable, and used only within one call of the planner.
 *
 * [workers] are in order of rack and position. Copies share [indexes] and [rackRanges], so that a copy costs only its
 * workers.
 */
internal class Capacity private constructor(
    val workers: List<WorkerCapacity>,
    private val indexes: Map<WorkerName, Int>,
    private val rackRanges: List<IntRange>,
    val weights: Weights,
) {
    /** The workers of each rack, in order of position. */
    val racks: List<List<WorkerCapacity>> get() = rackRanges.map { workers.subList(it.first, it.last + 1) }

    /** Index of [worker] in [workers], or -1. */
    fun indexOf(worker: WorkerName): Int = indexes[worker] ?: -1

    fun worker(name: WorkerName): WorkerCapacity? = indexes[name]?.let { workers[it] }

    fun copyOf(): Capacity = Capacity(workers.map { it.copyOf() }, indexes, rackRanges, weights)

    /** Returns false if the free accelerators are too few for [shape] in sum; much cheaper than a search. */
    fun mayFit(shape: Shape): Boolean =
        shape.acceleratorsPerTask == 0 || workers.sumOf { it.usableMask.countOneBits() } >= shape.acceleratorCount

    /** Subtracts what [placement] needs; free cores or memory may become negative where tasks are still stopping. */
    fun allocate(placement: GangPlacement, shape: Shape) = placement.tasks.forEach { task ->
        worker(task.worker)?.remove(task.mask(), shape.coresPerTask.toLong(), shape.memoryMiBPerTask)
    }

    /** Returns a copy in which a claim of [id] may use only what no other guaranteed shape needs. */
    fun limitedToClaim(state: LedgerState, id: GuaranteeId, nowMillis: Long): Capacity {
        val usable = state.workers.values.filter { it.isUsable(nowMillis) }
        val planned = total(usable, weights)
        state.guarantees.entries.forEach { (other, record) ->
            if (other != id && record.placement != null) planned.allocate(record.placement, record.shape)
        }
        val copy = copyOf()
        copy.workers.forEach { it.limitTo(checkNotNull(planned.worker(it.name))) }
        return copy
    }

    companion object {
        /** Free capacity of the workers that accept tasks at [nowMillis]. */
        fun free(state: LedgerState, weights: Weights, nowMillis: Long): Capacity {
            val usable = state.workers.values.filter { it.isUsable(nowMillis) }
            val capacity = of(usable.map { freeOn(it, nowMillis) }, weights)
            state.guarantees.entries.values.filter { it.claimedBy == null }.forEach { record ->
                record.placement?.tasks.orEmpty().forEach { task ->
                    capacity.worker(task.worker)?.let { it.avoidMask = it.avoidMask or task.mask() }
                }
            }
            return capacity
        }

        private fun freeOn(worker: WorkerRecord, nowMillis: Long): WorkerCapacity {
            val free = WorkerCapacity.of(worker, whole = false)
            free.probation = worker.isOnProbation(nowMillis)
            return free
        }

        /** Total capacity of [workers], as if nothing ran there. */
        fun total(workers: Collection<WorkerRecord>, weights: Weights): Capacity =
            of(workers.map { WorkerCapacity.of(it, whole = true) }, weights)

        private fun of(unordered: List<WorkerCapacity>, weights: Weights): Capacity {
            val workers = unordered.sortedWith(compareBy({ it.rack.value }, { it.position }, { it.name.value }))
            val indexes = HashMap<WorkerName, Int>()
            workers.forEachIndexed { index, worker -> indexes[worker.name] = index }
            val starts = workers.indices.filter { it == 0 || workers[it].rack != workers[it - 1].rack }
            val ranges = starts.mapIndexed { rack, start -> start until (starts.getOrNull(rack + 1) ?: workers.size) }
            return Capacity(workers, indexes, ranges, weights)
        }
    }
}
