package org.auburnlever.workload.sharing

import org.auburnlever.model.AccountName
import org.auburnlever.workload.learning.DurationForecast
import org.auburnlever.workload.runs.WorkerView
import org.auburnlever.workload.state.JobPhase
import org.auburnlever.workload.state.JobRecord
import org.auburnlever.workload.state.Resources

/**
 * What each account has had of its share of the fleet.
 *
 * Load pattern: a burst of one account, whose jobs came first and would go ahead of all others of their priority. An
 * account's share is its guarantee and an equal part of what the guarantees of the accounts with jobs leave.
 * Work beyond [TOLERANCE] times the share goes behind that of accounts below theirs, and further behind with each
 * doubling; within a rank, the order by objective stays. Ranks only order what waits, so no room stays idle.
 *
 * @property capacity resources of the whole fleet
 * @property use weighted use of each account
 * @property shares part of the fleet that each account is entitled to
 * @property otherShare the same for accounts that are not in [shares]
 */
internal class AccountShares(
    private val capacity: Resources,
    private val use: Map<AccountName?, ResourceTime>,
    private val shares: Map<AccountName?, Double>,
    private val otherShare: Double,
) : AccountOrder {
    override fun rank(account: AccountName?): Int = rankAfter(account, ResourceTime.NONE)

    override fun rankAfter(account: AccountName?, ahead: ResourceTime): Int {
        var excess = usedPart(account, ahead) / (TOLERANCE * share(account))
        var rank = 0
        while (excess > 1 && rank < MAX_RANK) {
            excess /= 2
            rank++
        }
        return rank
    }

    /** Returns the part of the fleet that [account] has had over the window, including the work [ahead]. */
    fun usedPart(account: AccountName?, ahead: ResourceTime = ResourceTime.NONE): Double =
        ((use[account] ?: ResourceTime.NONE) + ahead).dominantMillis(capacity) / SHARE_WINDOW_MILLIS

    /** Returns the part of the fleet that [account] is entitled to. */
    fun share(account: AccountName?): Double = shares[account] ?: otherShare

    /** The accounts that have run work lately or have an active job. */
    val accounts: Set<AccountName?> get() = use.keys

    companion object {
        /**
         * Multiple of the share up to which an account counts as within it. Tasks count up to half of the
         * window in advance, so an account that has exactly its share of a full fleet stays below it.
         */
        const val TOLERANCE = 1.5

        /** Beyond eight times its share, an account is behind all others anyway. */
        private const val MAX_RANK = 4

        /** Computes the shares from the replicated [jobs], and the fleet from [workers] and those that run tasks. */
        fun of(
            jobs: Collection<JobRecord>,
            workers: Collection<WorkerView>,
            guarantees: Map<AccountName, Int>,
            durations: DurationForecast,
            nowMillis: Long,
        ): AccountShares {
            val capacity = fleetCapacity(jobs, workers)
            // Accounts whose jobs have just ended still count, or a burst would regain a large share before all others
            // have had theirs.
            val active = jobs
                .filter { it.phase == JobPhase.ACTIVE || nowMillis - it.endedMillis <= SHARE_WINDOW_MILLIS }
                .mapTo(HashSet()) { it.account }
            val guaranteed = { account: AccountName? ->
                (guarantees[account] ?: 0).toDouble() / maxOf(capacity.accelerators, 1)
            }
            val unguaranteed = maxOf(MIN_UNGUARANTEED, 1 - active.sumOf(guaranteed))
            val equalPart = unguaranteed / maxOf(active.size, 1)
            val newcomerPart = unguaranteed / (active.size + 1)
            val shares = (active + guarantees.keys).associateWith {
                guaranteed(it) + if (it in active) equalPart else newcomerPart
            }
            return AccountShares(capacity, accountUse(jobs, durations, nowMillis), shares, newcomerPart)
        }

        /**
         * A new leader has not heard from all workers yet. Workers with assigned tasks count as well, so that the
         * shares do not change with each report after an election.
         */
        private fun fleetCapacity(jobs: Collection<JobRecord>, workers: Collection<WorkerView>): Resources {
            val reports = workers.filterNot { it.departed }.mapNotNull { it.report }
            val reported = reports.fold(Resources.NONE) { sum, report -> sum + report.capacity }
            val known = reports.mapTo(HashSet()) { it.ref.id }
            val silent = jobs.flatMap { it.assigned() }.mapNotNullTo(HashSet()) { (_, task) -> task.worker?.id } - known
            if (reports.isEmpty()) return Resources(1, 1, 1)
            val count = (reports.size + silent.size).toLong()
            return Resources(
                reported.milliCores * count / reports.size,
                reported.memoryMiB * count / reports.size,
                (reported.accelerators * count / reports.size).toInt(),
            )
        }

        /** Part of the fleet that is shared equally even if the guarantees exceed the fleet. */
        private const val MIN_UNGUARANTEED = 0.1
    }
}
