package org.auburnlever.ledger

import kotlinx.serialization.Serializable
import org.auburnlever.model.AccountName
import org.auburnlever.model.DomainName
import org.auburnlever.model.WorkerName

/** Counts of a ledger and what needs an operator's attention. */
@Serializable
data class LedgerSummary(
    val failureDomain: DomainName,
    val timeMillis: Long,
    val bundleVersion: Long,
    val workers: Int,
    val workersLost: List<WorkerName>,
    val workersDraining: List<WorkerName>,
    val workersSuspended: List<SuspendedWorker>,
    val acceleratorsTotal: Int,
    val acceleratorsFree: Int,
    val largestFreeRun: Int,
    val wholeFreeWorkers: Int,
    val jobsByPhase: Map<String, Int>,
    val claims: Int,
    val accounts: List<AccountUsage>,
    val guaranteesAtRisk: List<GuaranteeAtRisk>,
)

/** A worker that is excluded from scheduling until [untilMillis] of ledger time. */
@Serializable
data class SuspendedWorker(val worker: WorkerName, val untilMillis: Long, val reason: String)

/** The accelerators that an account holds, and its estimate factor. */
@Serializable
data class AccountUsage(val account: AccountName, val heldAccelerators: Int, val estimateFactor: Double)

/** A guaranteed shape without a placement. */
@Serializable
data class GuaranteeAtRisk(val account: AccountName, val index: Int, val accelerators: Int)

/** Returns a summary of the ledger; accelerators of lost workers are not counted. */
fun LedgerState.summary(): LedgerSummary {
    val present = workers.values.filter { !it.lost }
    return LedgerSummary(
        failureDomain = domain,
        timeMillis = timeMillis,
        bundleVersion = policy.bundleVersion,
        workers = present.size,
        workersLost = workers.values.filter { it.lost }.map { it.name },
        workersDraining = present.filter { it.draining }.map { it.name },
        workersSuspended = present.mapNotNull { it.suspended(timeMillis) },
        acceleratorsTotal = present.sumOf { it.acceleratorCount },
        acceleratorsFree = present.sumOf { java.lang.Long.bitCount(it.freeMask) },
        largestFreeRun = present.maxOfOrNull { longestRun(it.freeMask) } ?: 0,
        wholeFreeWorkers = present.count { it.acceleratorCount > 0 && it.busyMask == 0L },
        jobsByPhase = jobsByPhase(),
        claims = claims.all.size,
        accounts = accounts.map { (name, it) -> AccountUsage(name, it.heldAccelerators, it.estimateFactor) },
        guaranteesAtRisk = guarantees.atRisk.map { id ->
            GuaranteeAtRisk(id.account, id.index, guarantees.entries[id]?.shape?.acceleratorCount ?: 0)
        },
    )
}

private fun WorkerRecord.suspended(nowMillis: Long): SuspendedWorker? =
    suspension?.takeIf { it.untilMillis > nowMillis }?.let { SuspendedWorker(name, it.untilMillis, it.reason) }

private fun LedgerState.jobsByPhase(): Map<String, Int> =
    jobs.active.groupingBy { jobs.all.getValue(it).phase.name.lowercase() }.eachCount() +
        mapOf("queued" to jobs.queued.size, "done" to jobs.done.size)

/** Returns the length of the longest run of set bits in [mask]. */
internal fun longestRun(mask: Long): Int {
    var rest = mask
    var length = 0
    while (rest != 0L) {
        rest = rest and (rest shl 1)
        length++
    }
    return length
}
