package org.auburnlever.placement

import org.auburnlever.ledger.GangPlacement
import org.auburnlever.ledger.GuaranteeId
import org.auburnlever.ledger.LedgerState
import org.auburnlever.ledger.WorkerRecord
import org.auburnlever.ledger.mask
import org.auburnlever.world.Shape
import org.auburnlever.world.WorkerName

/**
 * Free capacity of all workers while a plan is made.
 *
 * [slots] are in order of rack and position. Copies share [index] and [rackRanges] and cost only their slots.
 */
internal class Room private constructor(
    val slots: List<Slot>,
    private val index: Map<WorkerName, Int>,
    private val rackRanges: List<IntRange>,
    val weights: Weights,
) {
    /** The slots of each rack, in order of position. */
    val racks: List<List<Slot>> get() = rackRanges.map { slots.subList(it.first, it.last + 1) }

    /** Index of [worker] in [slots], or -1. */
    fun place(worker: WorkerName): Int = index[worker] ?: -1

    fun slot(worker: WorkerName): Slot? = index[worker]?.let { slots[it] }

    fun copyOf(): Room = Room(slots.map { it.copyOf() }, index, rackRanges, weights)

    /** False when [shape] certainly does not fit, by the sum of free accelerators; much cheaper than a search. */
    fun mayFit(shape: Shape): Boolean =
        shape.acceleratorsPerTask == 0 || slots.sumOf { it.usableMask.countOneBits() } >= shape.acceleratorCount

    /** Removes the room that [placement] needs; may make cores or memory negative where tasks still stop. */
    fun block(placement: GangPlacement, shape: Shape) = placement.tasks.forEach { task ->
        slot(task.worker)?.remove(task.mask(), shape.coresPerTask.toLong(), shape.memoryMiBPerTask)
    }

    /** A copy in which a claim of [id] may take only what no other guaranteed shape needs. */
    fun withoutGuarantees(state: LedgerState, id: GuaranteeId, nowMillis: Long): Room {
        val usable = state.workers.values.filter { it.isUsable(nowMillis) }
        val planned = whole(usable, weights)
        state.guarantees.entries.forEach { (other, record) ->
            if (other != id && record.placement != null) planned.block(record.placement, record.shape)
        }
        val copy = copyOf()
        copy.slots.forEach { it.limitTo(checkNotNull(planned.slot(it.worker))) }
        return copy
    }

    companion object {
        /** What is free now on workers that take tasks. */
        fun free(state: LedgerState, weights: Weights, nowMillis: Long): Room {
            val usable = state.workers.values.filter { it.isUsable(nowMillis) }
            val room = of(usable.map { slotOf(it, nowMillis) }, weights)
            state.guarantees.entries.values.filter { it.claimedBy == null }.forEach { record ->
                record.placement?.tasks.orEmpty().forEach { task ->
                    room.slot(task.worker)?.let { it.avoidMask = it.avoidMask or task.mask() }
                }
            }
            return room
        }

        private fun slotOf(worker: WorkerRecord, nowMillis: Long): Slot {
            val slot = Slot.of(worker, whole = false)
            slot.probation = worker.isOnProbation(nowMillis)
            return slot
        }

        /** The whole capacity of [workers], whatever runs there. */
        fun whole(workers: Collection<WorkerRecord>, weights: Weights): Room =
            of(workers.map { Slot.of(it, whole = true) }, weights)

        private fun of(unordered: List<Slot>, weights: Weights): Room {
            val slots = unordered.sortedWith(compareBy({ it.rack.value }, { it.position }, { it.worker.value }))
            val index = HashMap<WorkerName, Int>()
            slots.forEachIndexed { place, slot -> index[slot.worker] = place }
            val starts = slots.indices.filter { it == 0 || slots[it].rack != slots[it - 1].rack }
            val ranges = starts.mapIndexed { rack, start -> start until (starts.getOrNull(rack + 1) ?: slots.size) }
            return Room(slots, index, ranges, weights)
        }
    }
}
