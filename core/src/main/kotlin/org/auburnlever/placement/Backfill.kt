package org.auburnlever.placement

import org.auburnlever.ledger.GangPlacement
import org.auburnlever.ledger.JobRecord
import org.auburnlever.ledger.LedgerState
import org.auburnlever.wire.JobPhase
import org.auburnlever.world.Shape

/** A job that outlived its estimate is expected to need this part of its run time again. */
private const val OVERRUN_DIVISOR = 10
private const val STOP_MILLIS = 2_000L

/** The block that the first blocked job will get, and when; jobs that end before may use it meanwhile. */
internal class Reservation(val jobId: String, val placement: GangPlacement, val startMillis: Long)

/** When [job] is expected to give back its accelerators. */
internal fun LedgerState.expectedEndMillis(job: JobRecord, nowMillis: Long): Long {
    val sinceMillis = job.runningMillis ?: nowMillis
    val ranMillis = nowMillis - sinceMillis
    val leftMillis = correctedMillis(job) - ranMillis
    return when {
        job.phase == JobPhase.STOPPING -> nowMillis + STOP_MILLIS
        leftMillis > 0 -> nowMillis + leftMillis
        else -> nowMillis + maxOf(ranMillis / OVERRUN_DIVISOR, STOP_MILLIS)
    }
}

/**
 * Finds the earliest time at which [shape] fits if running jobs end as expected, by bisection over their ends; null if
 * it does not fit even then.
 */
internal fun Room.reserve(state: LedgerState, jobId: String, shape: Shape, nowMillis: Long): Reservation? {
    val ends = state.jobs.active.map { state.jobs.all.getValue(it) }
        .map { it to state.expectedEndMillis(it, nowMillis) }
        .sortedWith(compareBy({ it.second }, { it.first.submittedIndex }))
    var best = fitAfter(ends, ends.size, shape) ?: return null
    var low = 0
    var high = ends.size
    while (low < high) {
        val middle = (low + high) / 2
        val fit = fitAfter(ends, middle, shape)
        if (fit == null) {
            low = middle + 1
        } else {
            high = middle
            best = fit
        }
    }
    val startMillis = if (high == 0) nowMillis else ends[high - 1].second
    return Reservation(jobId, best, startMillis)
}

private fun Room.fitAfter(ends: List<Pair<JobRecord, Long>>, count: Int, shape: Shape): GangPlacement? {
    val room = copyOf()
    ends.subList(0, count).forEach { (job, _) -> room.releaseHeld(job) }
    return room.find(shape)
}
