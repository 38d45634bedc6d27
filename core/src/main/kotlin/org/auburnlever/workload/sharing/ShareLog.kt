package org.auburnlever.workload.sharing

import kotlin.math.roundToInt
import org.auburnlever.workload.runs.LeaderState

/** Logs the accounts that have had clearly more than their share, each with its part of the fleet in percent. */
internal fun LeaderState.logAccountShares(shares: AccountShares) {
    shares.accounts.filter { shares.rank(it) > 0 }
        .sortedByDescending { shares.usedPart(it) }
        .take(MAX_LOGGED_ACCOUNTS)
        .forEach { account ->
            logDecision(
                "account_over_share",
                account?.value ?: "",
                "rank" to shares.rank(account),
                "usedPercent" to (shares.usedPart(account) * PERCENT).roundToInt(),
                "sharePercent" to (shares.share(account) * PERCENT).roundToInt(),
            )
        }
}

private const val PERCENT = 100

/** Bounds the lines of one summary while many accounts compete. */
private const val MAX_LOGGED_ACCOUNTS = 10
