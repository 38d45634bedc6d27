package org.auburnlever.placement

import org.auburnlever.configuration.Bundle
import org.auburnlever.ledger.GuaranteeId
import org.auburnlever.ledger.JobRecord
import org.auburnlever.ledger.LedgerState
import org.auburnlever.ledger.isCoveredBy
import org.auburnlever.model.AccountName
import kotlin.math.ln

private const val MILLIS_PER_SECOND = 1_000.0
private const val SECONDS_PER_MINUTE = 60.0
private const val MILLIS_PER_HOUR = 3_600_000.0

/** Doubling the estimate weighs as much as a tenth of the domain's accelerators held by an account of average share. */
private const val ESTIMATE_WEIGHT = 0.1

/** Classes of queued jobs, in the order in which they are served. */
internal enum class QueueClass { GUARANTEED, URGENT, ROUTINE }

/** A queued job and its position in the order: by class, then by [score], the lowest first. */
internal class QueuedJob(
    val job: JobRecord,
    val queueClass: QueueClass,
    val guarantee: GuaranteeId?,
    val expectedRunMillis: Long,
    val score: Double,
)

/** Expected run time of [job]: its estimate, corrected by how long the account's earlier jobs ran. */
internal fun LedgerState.expectedRunMillis(job: JobRecord): Long {
    val factor = accounts[job.account]?.estimateFactor ?: 1.0
    return (job.spec.estimatedSeconds * factor * MILLIS_PER_SECOND).toLong()
}

/**
 * Orders the queued jobs of one state.
 *
 * The score of a job sums up three terms: the part of the domain that its account holds, including the account's queued
 * jobs ahead of it, divided by the account's share; the estimate, which prefers short jobs and is weighted by the
 * completion time of the policy; and the age, minus one point an hour, which prevents starvation of long jobs.
 */
internal class QueueOrder(private val state: LedgerState, bundle: Bundle, private val nowMillis: Long) {
    private val shares = bundle.accounts.associate { it.name to maxOf(it.share, 1) }
    private val averageShare = maxOf(shares.values.average().takeUnless { it.isNaN() } ?: 1.0, 1.0)
    private val estimateWeight = ESTIMATE_WEIGHT * bundle.policy.completionTime
    private val total = maxOf(state.workers.values.sumOf { if (it.lost) 0 else it.acceleratorCount }, 1)

    /** The queued jobs, in the order in which to serve them. */
    fun jobs(): List<QueuedJob> {
        val waiting = state.jobs.queued.map { state.jobs.all.getValue(it) }
        val guarantees = GuaranteeMatcher(state)
        return waiting.groupBy { it.account }
            .flatMap { (account, own) -> score(account, own, guarantees) }
            .sortedWith(compareBy({ it.queueClass }, { it.score }, { it.job.submittedIndex }))
    }

    private fun score(account: AccountName, own: List<JobRecord>, guarantees: GuaranteeMatcher): List<QueuedJob> {
        val share = (shares[account] ?: 1) / averageShare
        var held = state.accounts[account]?.heldAccelerators ?: 0
        return own.map { it to baseScore(it) }
            .sortedWith(compareBy({ !it.first.spec.urgent }, { it.second }, { it.first.submittedIndex }))
            .map { (job, baseScore) ->
                val guarantee = guarantees.match(job)
                val score = baseScore + held / (share * total)
                held += job.spec.shape.acceleratorCount
                QueuedJob(job, classOf(job, guarantee), guarantee, state.expectedRunMillis(job), score)
            }
    }

    private fun baseScore(job: JobRecord): Double {
        val minutes = state.expectedRunMillis(job) / MILLIS_PER_SECOND / SECONDS_PER_MINUTE
        val age = (nowMillis - job.submittedMillis) / MILLIS_PER_HOUR
        return estimateWeight * ln(1 + minutes) - age
    }

    private fun classOf(job: JobRecord, guarantee: GuaranteeId?): QueueClass = when {
        guarantee != null -> QueueClass.GUARANTEED
        job.spec.urgent -> QueueClass.URGENT
        else -> QueueClass.ROUTINE
    }
}

/** Matches each unclaimed guarantee with the first queued job of its account that it covers. */
private class GuaranteeMatcher(state: LedgerState) {
    private val unclaimed = state.guarantees.entries
        .filterValues { it.claimedBy == null && it.placement != null }
        .entries
        .groupByTo(mutableMapOf(), { it.key.account }, { it.key to it.value.shape })

    fun match(job: JobRecord): GuaranteeId? {
        val own = unclaimed[job.account]
        val match = own?.firstOrNull { (_, shape) -> job.spec.shape.isCoveredBy(shape) }
        if (match != null) own.remove(match)
        return match?.first
    }
}
