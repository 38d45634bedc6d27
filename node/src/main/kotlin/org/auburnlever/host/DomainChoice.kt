package org.auburnlever.host

import org.auburnlever.configuration.Bundle
import org.auburnlever.configuration.ClientAccount
import org.auburnlever.model.DomainName
import org.auburnlever.model.Shape
import org.auburnlever.peer.DomainCapacity
import org.auburnlever.wire.JobSpec

/**
 * Chooses the failure domain of a job that names none.
 *
 * Prefers domains that guarantee the account a shape at least as large as the job's; without one, all domains of the
 * bundle are candidates. Chooses the candidate with the most free accelerators, or [ownDomain] if there are none.
 */
internal fun chooseDomain(
    account: ClientAccount,
    spec: JobSpec,
    bundle: Bundle?,
    capacities: Map<DomainName, DomainCapacity>,
    ownDomain: DomainName,
): DomainName {
    val guaranteed = account.guarantees.filter { it.shape.covers(spec.shape) }.map { it.failureDomain }
    val allDomains = bundle?.failureDomains.orEmpty().map { it.name }
    val candidates = guaranteed.ifEmpty { allDomains }
    return candidates.maxByOrNull { capacities[it]?.acceleratorsFree ?: 0 } ?: ownDomain
}

private fun Shape.covers(other: Shape): Boolean =
    other.taskCount <= taskCount &&
        other.acceleratorsPerTask <= acceleratorsPerTask &&
        other.coresPerTask <= coresPerTask &&
        other.memoryMiBPerTask <= memoryMiBPerTask
