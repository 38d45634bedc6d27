package org.auburnlever.placement

import org.auburnlever.ledger.GangPlacement
import org.auburnlever.ledger.JobRecord
import org.auburnlever.ledger.LedgerState
import org.auburnlever.wire.JobPhase

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
 * Finds the earliest time at which the shape of [job] fits if the [running] jobs end as expected, by bisection over
 * their ends; null if it does not fit even then.
 *
 * For accelerators, the ends of jobs without accelerators are only considered if the others are not enough.
 */
internal fun Room.reserve(state: LedgerState, running: RunningJobs, job: JobRecord, nowMillis: Long): Reservation? {
    val few = if (job.spec.shape.acceleratorsPerTask > 0) running.accelerated else emptyList()
    return reserveAfter(state.endings(few, nowMillis), job, nowMillis)
        ?: reserveAfter(state.endings(running.all, nowMillis), job, nowMillis)
}

private fun LedgerState.endings(running: List<RunningJob>, nowMillis: Long): List<Ending> =
    running.map { Ending(it, expectedEndMillis(it.job, nowMillis)) }.sorted()

private fun Room.reserveAfter(ends: List<Ending>, job: JobRecord, nowMillis: Long): Reservation? {
    val found = bisectReleases(this, ends.map { it.running }) { it.find(job.spec.shape) }
    return found?.let { (count, placement) ->
        val startMillis = if (count == 0) nowMillis else ends[count - 1].atMillis
        Reservation(job.jobId, placement, startMillis)
    }
}

private class Ending(val running: RunningJob, val atMillis: Long) : Comparable<Ending> {
    override fun compareTo(other: Ending): Int {
        val byTime = atMillis.compareTo(other.atMillis)
        return if (byTime == 0) running.job.submittedIndex.compareTo(other.running.job.submittedIndex) else byTime
    }
}
