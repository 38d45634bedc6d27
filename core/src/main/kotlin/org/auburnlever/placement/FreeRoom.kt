package org.auburnlever.placement

import org.auburnlever.ledger.GangPlacement
import org.auburnlever.ledger.JobRecord
import org.auburnlever.ledger.LedgerState
import org.auburnlever.world.Shape

/**
 * Free capacity during one plan, with at most one reservation for a blocked job.
 *
 * Jobs that are expected to end before the reservation starts may use its block; all others get what is [beside] it.
 */
internal class FreeRoom(val room: Room) {
    var reservation: Reservation? = null
        private set
    private var beside: Room = room
    private val hopeless = HashSet<Shape>()
    private val hopelessBeside = HashSet<Shape>()

    /** Finds a place for [job], away from workers where its start failed if possible. */
    fun find(job: JobRecord, estimateMillis: Long, nowMillis: Long): GangPlacement? {
        val ahead = reservation
        val endsBefore = ahead == null || nowMillis + estimateMillis <= ahead.startMillis
        return if (endsBefore) find(room, hopeless, job) else find(beside, hopelessBeside, job)
    }

    /** Capacity only shrinks during a plan, so a shape that did not fit once is not searched for again. */
    private fun find(within: Room, failed: MutableSet<Shape>, job: JobRecord): GangPlacement? {
        val shape = job.spec.shape
        val found = if (shape in failed) null else within.find(shape, job.failedOn) ?: within.findAnyway(shape, job)
        if (found == null) failed += shape
        return found
    }

    private fun Room.findAnyway(shape: Shape, job: JobRecord): GangPlacement? =
        if (job.failedOn.isEmpty()) null else find(shape)

    fun block(placement: GangPlacement, shape: Shape) {
        room.block(placement, shape)
        if (beside !== room) beside.block(placement, shape)
    }

    /** Keeps the earliest block for [job]; false if it does not fit the usable workers at all. */
    fun reserve(state: LedgerState, running: RunningJobs, job: JobRecord, nowMillis: Long): Boolean {
        val found = room.reserve(state, running, job, nowMillis)
        if (found != null) {
            reservation = found
            beside = room.copyOf()
            beside.block(found.placement, job.spec.shape)
        }
        return found != null
    }
}
