package org.auburnlever.placement

import org.auburnlever.ledger.JobRecord
import org.auburnlever.ledger.LedgerState
import org.auburnlever.ledger.ScheduleAction

/** Limits the journal entries of one plan. */
private const val MAX_WAIT_REASONS = 16

/** An impossible job is refused only after this time, since the workers that it needs may not be announced yet. */
private const val REFUSE_IMPOSSIBLE_AFTER_MILLIS = 60_000L

/**
 * Collects the reasons for which jobs wait.
 *
 * The texts contain no changing numbers, and a reason that the job already has is not recorded again, so that a long
 * queue does not fill the log.
 */
internal class WaitReasons(private val state: LedgerState, private val nowMillis: Long) {
    val actions = mutableListOf<ScheduleAction>()

    fun addQuota(job: JobRecord) {
        val quota = state.policy.quota(job.account)
        add(job, "waits for quota: ${job.account} may hold $quota accelerators at once; runs when its jobs end")
    }

    fun addPendingStops(job: JobRecord) = add(job, "waits until the jobs that make room for it have stopped")

    fun addReservation(job: JobRecord) =
        add(job, "the next free block is reserved for it; needs ${job.spec.shape.describe()}")

    fun addNoFreeBlock(job: JobRecord) =
        add(job, "no free block for ${job.spec.shape.describe()}; runs when enough adjacent accelerators are free")

    /** Refuses a job that would not fit the known workers if all returned and were empty; else adds a reason. */
    fun refuseIfImpossible(job: JobRecord) {
        val shape = job.spec.shape
        val isOld = nowMillis - job.submittedMillis >= REFUSE_IMPOSSIBLE_AFTER_MILLIS
        val largest = if (isOld) state.largestPossible(shape) else shape
        if (largest != shape) {
            val reason = "no place for ${shape.describe()} on the known workers; largest: ${largest.describe()}"
            actions += ScheduleAction.Refuse(job.jobId, reason)
        } else {
            add(job, "the workers that take tasks now can't hold ${shape.describe()}; runs when others return")
        }
    }

    private fun add(job: JobRecord, reason: String) {
        if (actions.size < MAX_WAIT_REASONS && job.reason != reason) actions += ScheduleAction.Wait(job.jobId, reason)
    }
}
