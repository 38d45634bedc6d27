package org.auburnlever.placement

import org.auburnlever.ledger.GangPlacement
import org.auburnlever.ledger.JobRecord
import org.auburnlever.ledger.LedgerState
import org.auburnlever.model.Shape

/**
 * Free capacity during one plan, with at most one reservation for a blocked job.
 *
 * Jobs that are expected to end before the reservation starts may be backfilled into its placement; all others may use
 * only the capacity [outsideReservation].
 */
internal class PlanCapacity(val all: Capacity) {
    var reservation: Reservation? = null
        private set
    private var outsideReservation: Capacity = all
    private val failedShapes = HashSet<Shape>()
    private val failedOutsideReservation = HashSet<Shape>()

    /** Finds a placement for [job], if possible without the workers where its start failed. */
    fun findPlacement(job: JobRecord, expectedRunMillis: Long, nowMillis: Long): GangPlacement? {
        val ahead = reservation
        val endsBefore = ahead == null || nowMillis + expectedRunMillis <= ahead.startMillis
        return if (endsBefore) {
            findOnce(all, failedShapes, job)
        } else {
            findOnce(outsideReservation, failedOutsideReservation, job)
        }
    }

    /** Skips the search for a shape that did not fit before, since capacity only shrinks during a plan. */
    private fun findOnce(within: Capacity, failed: MutableSet<Shape>, job: JobRecord): GangPlacement? {
        val shape = job.spec.shape
        val found =
            if (shape in failed) null else within.findPlacement(shape, job.failedOn) ?: within.findAnyway(shape, job)
        if (found == null) failed += shape
        return found
    }

    private fun Capacity.findAnyway(shape: Shape, job: JobRecord): GangPlacement? =
        if (job.failedOn.isEmpty()) null else findPlacement(shape)

    fun allocate(placement: GangPlacement, shape: Shape) {
        all.allocate(placement, shape)
        if (outsideReservation !== all) outsideReservation.allocate(placement, shape)
    }

    /** Reserves the earliest placement for [job]; returns false if no usable workers can hold it. */
    fun reserve(state: LedgerState, running: RunningJobs, job: JobRecord, nowMillis: Long): Boolean {
        val found = all.reserve(state, running, job, nowMillis)
        if (found != null) {
            reservation = found
            outsideReservation = all.copyOf()
            outsideReservation.allocate(found.placement, job.spec.shape)
        }
        return found != null
    }
}
