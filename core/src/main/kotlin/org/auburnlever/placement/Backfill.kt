package org.auburnlever.placement

import org.auburnlever.ledger.GangPlacement
import org.auburnlever.ledger.JobRecord
import org.auburnlever.ledger.LedgerState
import org.auburnlever.wire.JobPhase

/** A job that has exceeded its estimate is expected to run for another tenth of its run time so far. */
private const val OVERRUN_DIVISOR = 10
private const val EXPECTED_STOP_MILLIS = 2_000L

/** Placement and start time of the first blocked job; jobs that end earlier may be backfilled into it. */
internal class Reservation(val jobId: String, val placement: GangPlacement, val startMillis: Long)

/** Time at which [job] is expected to release its accelerators. */
internal fun LedgerState.expectedEndMillis(job: JobRecord, nowMillis: Long): Long {
    val startedMillis = job.runningMillis ?: nowMillis
    val ranMillis = nowMillis - startedMillis
    val leftMillis = expectedRunMillis(job) - ranMillis
    return when {
        job.phase == JobPhase.STOPPING -> nowMillis + EXPECTED_STOP_MILLIS
        leftMillis > 0 -> nowMillis + leftMillis
        else -> nowMillis + maxOf(ranMillis / OVERRUN_DIVISOR, EXPECTED_STOP_MILLIS)
    }
}

/**
 * Finds the earliest time at which the shape of [job] fits if the [running] jobs end as expected, by bisection over
 * their expected ends; null if it does not fit even after all have ended.
 *
 * For a shape with accelerators, the ends of jobs without accelerators count only if the others' do not suffice.
 */
internal fun Capacity.reserve(state: LedgerState, running: RunningJobs, job: JobRecord, nowMillis: Long): Reservation? {
    val holders = if (job.spec.shape.acceleratorsPerTask > 0) running.accelerated else emptyList()
    return reserveAfter(state.expectedEnds(holders, nowMillis), job, nowMillis)
        ?: reserveAfter(state.expectedEnds(running.all, nowMillis), job, nowMillis)
}

private fun LedgerState.expectedEnds(running: List<RunningJob>, nowMillis: Long): List<ExpectedEnd> =
    running.map { ExpectedEnd(it, expectedEndMillis(it.job, nowMillis)) }.sorted()

private fun Capacity.reserveAfter(ends: List<ExpectedEnd>, job: JobRecord, nowMillis: Long): Reservation? {
    val found = bisectReleases(this, ends.map { it.running }) { it.findPlacement(job.spec.shape) }
    return found?.let { (count, placement) ->
        val startMillis = if (count == 0) nowMillis else ends[count - 1].atMillis
        Reservation(job.jobId, placement, startMillis)
    }
}

private class ExpectedEnd(val running: RunningJob, val atMillis: Long) : Comparable<ExpectedEnd> {
    override fun compareTo(other: ExpectedEnd): Int {
        val byTime = atMillis.compareTo(other.atMillis)
        return if (byTime == 0) running.job.submittedIndex.compareTo(other.running.job.submittedIndex) else byTime
    }
}
