package org.auburnlever.ledger

/**
 * Checks that the guaranteed shapes, claimed or planned, are disjoint and fit on the workers. Since only claimed work
 * can't be preempted, each planned shape then fits into free plus preemptible capacity.
 */
internal fun LedgerState.checkGuarantees(): List<InvariantViolation> {
    val capacity = RemainingCapacity(workers, timeMillis)
    val (claimed, planned) = guarantees.entries.entries.partition { it.value.claimedBy != null }
    claimed.forEach { (_, record) -> capacity.allocate(record.shape, record.placement) }
    val conflicting = planned.filter { (_, record) ->
        val placement = record.placement
        val fits = placement == null || capacity.fits(record.shape, placement)
        capacity.allocate(record.shape, placement)
        !fits
    }
    val invalidClaims = claimed.filter { (id, record) ->
        val job = record.claimedBy?.let { job(it) }
        job == null || !job.isActive || job.guarantee != id || job.tasks.map { it.placement } != record.placement?.tasks
    }
    val unreported = planned.filter { (id, record) ->
        record.placement == null && !guarantees.stale && id !in guarantees.atRisk
    }
    return conflicting.map { violation("a planned guarantee fits and does not overlap others", "${it.key}") } +
        invalidClaims.map { violation("a claimed guarantee belongs to an active job", "${it.key}") } +
        unreported.map { violation("a guarantee without a placement is at risk or replanned", "${it.key}") }
}

internal fun LedgerState.checkClaims(): List<InvariantViolation> {
    val sum = claims.storedAnswers.values.sumOf { it.toLong() }
    return listOfNotNull(violation("stored answers add up", "$sum").takeIf { sum != claims.storedBytes })
}
