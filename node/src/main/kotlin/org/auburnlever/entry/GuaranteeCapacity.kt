package org.auburnlever.entry

import org.auburnlever.configuration.Bundle
import org.auburnlever.configuration.FieldProblem
import org.auburnlever.configuration.accelerators
import org.auburnlever.model.DomainName

/**
 * Returns a problem for each failure domain whose guarantees exceed the accelerators that its workers announced.
 *
 * A sum that is not larger than in the bundle in force is accepted, because a temporary loss of workers must not block
 * other changes. Domains that are missing from [announced] are not checked, because their workers are not known yet.
 */
internal fun Bundle.capacityProblems(inForce: Bundle, announced: Map<DomainName, Int>): List<FieldProblem> {
    val before = inForce.guaranteedByDomain()
    return guaranteedByDomain()
        .filter { (domain, sum) -> sum > (announced[domain] ?: Int.MAX_VALUE) && sum > (before[domain] ?: 0) }
        .map { (domain, sum) ->
            val permitted = "at most ${announced[domain]}, the accelerators of its announced workers"
            FieldProblem("guarantees in $domain", "$sum accelerators", permitted)
        }
}

private fun Bundle.guaranteedByDomain(): Map<DomainName, Long> =
    accounts.flatMap { it.guarantees }
        .groupBy { it.failureDomain }
        .mapValues { (_, guarantees) -> guarantees.sumOf { it.accelerators() } }
