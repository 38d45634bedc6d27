package org.auburnlever.ledger

/**
 * Guaranteed shapes, claimed or planned, are disjoint and fit the workers. Since only claimed work can't be preempted,
 * each planned shape then fits into free plus preemptible capacity.
 */
internal fun LedgerState.checkGuarantees(): List<InvariantViolation> {
    val room = PlannedRoom(workers, timeMillis)
    val (claimed, planned) = guarantees.entries.entries.partition { it.value.claimedBy != null }
    claimed.forEach { (_, record) -> room.take(record.shape, record.placement) }
    val displaced = planned.filter { (_, record) ->
        val placement = record.placement
        val fits = placement == null || room.fits(record.shape, placement)
        room.take(record.shape, placement)
        !fits
    }
    val unclaimed = claimed.filter { (id, record) ->
        val job = record.claimedBy?.let { job(it) }
        job == null || !job.isActive || job.guarantee != id || job.tasks.map { it.placement } != record.placement?.tasks
    }
    val silent = planned.filter { (id, record) ->
        record.placement == null && !guarantees.stale && id !in guarantees.atRisk
    }
    return displaced.map { violation("a planned guarantee fits beside the others", "${it.key}") } +
        unclaimed.map { violation("a claimed guarantee belongs to an active job", "${it.key}") } +
        silent.map { violation("a guarantee without a place is reported or replanned", "${it.key}") }
}

internal fun LedgerState.checkClaims(): List<InvariantViolation> {
    val sum = claims.storedAnswers.values.sumOf { it.toLong() }
    return listOfNotNull(violation("stored answers add up", "$sum").takeIf { sum != claims.storedBytes })
}
