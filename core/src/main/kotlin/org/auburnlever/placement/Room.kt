package org.auburnlever.placement

import org.auburnlever.ledger.GangPlacement
import org.auburnlever.ledger.GuaranteeId
import org.auburnlever.ledger.LedgerState
import org.auburnlever.ledger.TaskPlacement
import org.auburnlever.ledger.WorkerRecord
import org.auburnlever.ledger.mask
import org.auburnlever.world.Shape
import org.auburnlever.world.WorkerName

/** Free capacity of all workers while a plan is made. */
internal class Room(slots: List<Slot>, val weights: Weights) {
    val slots: List<Slot> = slots.sortedWith(compareBy({ it.rack.value }, { it.position }, { it.worker.value }))
    private val byName: Map<WorkerName, Slot> = this.slots.associateBy { it.worker }
    val racks: List<List<Slot>> by lazy { this.slots.groupBy { it.rack }.values.toList() }

    fun slot(worker: WorkerName): Slot? = byName[worker]

    fun copyOf(): Room = Room(slots.map { it.copyOf() }, weights)

    /** Removes the room that [placement] needs; may make cores or memory negative where tasks still stop. */
    fun block(placement: GangPlacement, shape: Shape) = placement.tasks.forEach { task ->
        slot(task.worker)?.remove(task.mask(), shape.coresPerTask.toLong(), shape.memoryMiBPerTask)
    }

    fun release(placement: GangPlacement, shape: Shape) = placement.tasks.forEach { release(it, shape) }

    fun release(task: TaskPlacement, shape: Shape) {
        slot(task.worker)?.add(task.mask(), shape.coresPerTask.toLong(), shape.memoryMiBPerTask)
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
            val room = Room(usable.map { slotOf(it, nowMillis) }, weights)
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
            Room(workers.map { Slot.of(it, whole = true) }, weights)
    }
}
