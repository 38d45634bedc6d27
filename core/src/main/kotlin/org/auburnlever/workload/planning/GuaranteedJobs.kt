package org.auburnlever.workload.planning

import org.auburnlever.model.AccountName
import org.auburnlever.workload.state.JobPhase
import org.auburnlever.workload.state.JobRecord

/**
 * Returns the ids of the urgent jobs that are within the guarantee of their account.
 *
 * Load pattern: several accounts send bursts of urgent jobs that together need more than the fleet has. Jobs within a
 * guarantee then start first and may take back what urgent jobs beyond a guarantee use. An account's jobs count in the
 * order of their acceptance, so that a job keeps its standing until it ends.
 */
internal fun guaranteedJobs(jobs: Collection<JobRecord>, guarantees: Map<AccountName, Int>): Set<String> {
    val urgent = jobs.filter { it.phase == JobPhase.ACTIVE && it.policy.priority == URGENT && it.account in guarantees }
    val guaranteed = HashSet<String>()
    for ((account, ofAccount) in urgent.groupBy { it.account }) {
        var left = guarantees.getValue(checkNotNull(account))
        for (job in ofAccount.sortedWith(compareBy({ it.acceptedMillis }, { it.id }))) {
            val need = job.acceleratorNeed()
            if (need <= left) {
                left -= need
                guaranteed += job.id
            }
        }
    }
    return guaranteed
}

/** Accelerators that the job needs at the same time. */
private fun JobRecord.acceleratorNeed(): Int = spec.steps.maxOf { it.reserved.accelerators * it.taskCount }
