package org.auburnlever.placement

import org.auburnlever.ledger.JobRecord
import org.auburnlever.ledger.LedgerState
import org.auburnlever.ledger.ScheduleAction
import org.auburnlever.world.Shape

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
    private val largest = HashMap<Shape, Shape>()

    fun waitsForQuota(job: JobRecord) {
        val quota = state.policy.quota(job.account)
        note(job, "waits for quota: ${job.account} may hold $quota accelerators at once; runs when its jobs end")
    }

    fun waitsForStops(job: JobRecord) = note(job, "waits until the jobs that make room for it have stopped")

    fun hasReservation(job: JobRecord) =
        note(job, "the next free block is reserved for it; needs ${job.spec.shape.describe()}")

    fun waitsForBlock(job: JobRecord) {
        val impossible = nowMillis - job.submittedMillis >= IMPOSSIBLE_MILLIS && largestFor(job) != job.spec.shape
        if (impossible) {
            val shape = job.spec.shape.describe()
            val reason = "no place for $shape on the known workers; largest: ${largestFor(job).describe()}"
            actions += ScheduleAction.Refuse(job.jobId, reason)
        } else {
            note(job, "no free block for ${job.spec.shape.describe()}; runs when enough adjacent accelerators are free")
        }
    }

    private fun largestFor(job: JobRecord): Shape =
        largest.getOrPut(job.spec.shape) { state.largestPossible(job.spec.shape) }

    private fun note(job: JobRecord, reason: String) {
        if (actions.size < MAX_NOTES && job.reason != reason) actions += ScheduleAction.Wait(job.jobId, reason)
    }
}
