package org.auburnlever.entry

import org.auburnlever.configuration.Bundle
import org.auburnlever.configuration.FieldProblem
import org.auburnlever.configuration.accelerators
import org.auburnlever.world.DomainName

/**
 * Returns a problem for each failure domain whose guarantees add up to more accelerators than its workers announced.
 *
 * A sum that the bundle in force already has is no problem: workers may be lost for a while, which must not stop other
 * changes. Domains that are missing in [announced] are not checked, since their workers are not known yet.
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
