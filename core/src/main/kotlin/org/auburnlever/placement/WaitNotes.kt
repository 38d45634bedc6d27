package org.auburnlever.placement

import org.auburnlever.ledger.JobRecord
import org.auburnlever.ledger.LedgerState
import org.auburnlever.ledger.ScheduleAction

/** Bounds the journal entries of one plan. */
private const val MAX_NOTES = 16

/** An impossible job is refused only after this time, since the workers it needs may not have announced themselves. */
private const val IMPOSSIBLE_MILLIS = 60_000L

/**
 * Collects why jobs wait. The texts hold no changing numbers, and a text that is recorded already is not repeated, so
 * that a long queue does not fill the log.
 */
internal class WaitNotes(private val state: LedgerState, private val nowMillis: Long) {
    val actions = mutableListOf<ScheduleAction>()

    fun waitsForQuota(job: JobRecord) {
        val quota = state.policy.quota(job.account)
        note(job, "waits for quota: ${job.account} may hold $quota accelerators at once; runs when its jobs end")
    }

    fun waitsForStops(job: JobRecord) = note(job, "waits until the jobs that make room for it have stopped")

    fun hasReservation(job: JobRecord) =
        note(job, "the next free block is reserved for it; needs ${job.spec.shape.describe()}")

    fun waitsForBlock(job: JobRecord) =
        note(job, "no free block for ${job.spec.shape.describe()}; runs when enough adjacent accelerators are free")

    /** Refuses a job that would not fit the known workers if all of them returned and were empty. */
    fun fitsNoUsableWorkers(job: JobRecord) {
        val shape = job.spec.shape
        val isOld = nowMillis - job.submittedMillis >= IMPOSSIBLE_MILLIS
        val largest = if (isOld) state.largestPossible(shape) else shape
        if (largest != shape) {
            val reason = "no place for ${shape.describe()} on the known workers; largest: ${largest.describe()}"
            actions += ScheduleAction.Refuse(job.jobId, reason)
        } else {
            note(job, "the workers that take tasks now can't hold ${shape.describe()}; runs when others return")
        }
    }

    private fun note(job: JobRecord, reason: String) {
        if (actions.size < MAX_NOTES && job.reason != reason) actions += ScheduleAction.Wait(job.jobId, reason)
    }
}
