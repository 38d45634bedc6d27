package org.auburnlever.workload.sharing

import org.auburnlever.workload.SchedulingFeature
import org.auburnlever.workload.learning.durations
import org.auburnlever.workload.runs.LeaderState
import org.auburnlever.workload.runs.WorkerView
import org.auburnlever.workload.state.WorkloadState
import org.auburnlever.workload.state.guarantees
import kotlin.math.roundToInt

/** Keeps the leader's newest [AccountShares] for a short time. */
internal class LeaderShares(private val features: Set<SchedulingFeature>) {
    private var newest: AccountShares? = null
    private var computedMillis = 0L

    /** Returns the order of the accounts in a plan at [nowMillis]. */
    fun order(state: WorkloadState, workers: Collection<WorkerView>, nowMillis: Long): AccountOrder {
        if (SchedulingFeature.FAIR_SHARING !in features) return AccountOrder.EQUAL
        val known = newest
        if (known == null || nowMillis - computedMillis >= INTERVAL_MILLIS) {
            computedMillis = nowMillis
            val durations = state.durations(features)
            newest = AccountShares.of(state.jobs.values, workers, state.guarantees(), durations, nowMillis)
        }
        return newest ?: AccountOrder.EQUAL
    }

    /** Logs the accounts that have had clearly more than their share, each with its part of the fleet in percent. */
    fun logTo(leader: LeaderState) {
        val shares = newest ?: return
        shares.accounts.filter { shares.rank(it) > 0 }
            .sortedByDescending { shares.usedPart(it) }
            .take(MAX_LOGGED_ACCOUNTS)
            .forEach { account ->
                leader.logDecision(
                    "account_over_share",
                    account?.value ?: "",
                    "rank" to shares.rank(account),
                    "usedPercent" to (shares.usedPart(account) * PERCENT).roundToInt(),
                    "sharePercent" to (shares.share(account) * PERCENT).roundToInt(),
                )
            }
    }

    private companion object {
        /** Shares change over seconds; computing them reads all tasks of the last minute. */
        const val INTERVAL_MILLIS = 200L
        const val PERCENT = 100

        /** Bounds the lines of one summary while many accounts compete. */
        const val MAX_LOGGED_ACCOUNTS = 10
    }
}
