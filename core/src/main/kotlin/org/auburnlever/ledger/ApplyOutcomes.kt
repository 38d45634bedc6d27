package org.auburnlever.ledger

import org.auburnlever.wire.Answer
import org.auburnlever.wire.ErrorCode
import org.auburnlever.wire.Outcome

private const val STORED_ANSWERS_BYTES = 8L * 1024 * 1024

internal fun Transition.recordOutcome(command: LedgerCommand.RecordOutcome): LedgerReply {
    val claim = state.claims.all[command.key]
    return when {
        claim == null -> refused(ErrorCode.NOT_FOUND, "no claim for this key")
        claim.claimId != command.claimId ->
            LedgerReply.Rejected(Outcome.Unknown(ErrorCode.IN_PROGRESS, "the claim belongs to another attempt"))
        claim.outcome != null && !claim.timedOut -> LedgerReply.Done
        else -> storeOutcome(command.key, claim, command.outcome)
    }
}

private fun Transition.storeOutcome(key: RequestKey, claim: ClaimRecord, outcome: Outcome): LedgerReply {
    val kept = if (outcome is Outcome.Completed) Outcome.Completed(withoutOversizedBody(outcome.answer)) else outcome
    putClaim(key, claim.copy(outcome = kept, timedOut = false))
    val size = (kept as? Outcome.Completed)?.answer?.body?.size ?: 0
    if (size > 0) {
        val claims = state.claims
        val stored = claims.copy(
            storedAnswers = claims.storedAnswers.put(key, size),
            storedBytes = claims.storedBytes + size,
        )
        state = state.copy(claims = stored.dropOldestBodies(STORED_ANSWERS_BYTES))
    }
    events += LedgerEvent.ClaimEnded(key, kept, timedOut = false)
    return LedgerReply.Done
}

private fun Transition.withoutOversizedBody(answer: Answer): Answer {
    val size = answer.body?.size ?: 0
    return if (size > state.policy.maxStoredAnswerBytes) answer.copy(body = null) else answer
}

private fun ClaimTable.dropOldestBodies(limitBytes: Long): ClaimTable {
    var table = this
    while (table.storedBytes > limitBytes) table = table.withoutBody(table.storedAnswers.keys.first())
    return table
}

/** Drops the stored body of the answer to [key]; its length and digest are kept. */
private fun ClaimTable.withoutBody(key: RequestKey): ClaimTable {
    val record = all[key]
    val outcome = record?.outcome
    val reduced = if (record != null && outcome is Outcome.Completed) {
        all.put(key, record.copy(outcome = Outcome.Completed(outcome.answer.copy(body = null))))
    } else {
        all
    }
    val size = storedAnswers[key] ?: 0
    return ClaimTable(reduced, storedAnswers.remove(key), storedBytes - size)
}
