package org.auburnlever.ledger

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import org.auburnlever.wire.ErrorCode
import org.auburnlever.wire.Outcome

private const val KEY_LIFETIME_MILLIS = 24 * 3_600_000L
private const val KEY_RETENTION_MILLIS = 25 * 3_600_000L
private const val KEY_FUTURE_MILLIS = 300_000L
private const val CLAIM_GRACE_MILLIS = 1_000L

/** Keeps the ledger below the process limit of 128 MB; a claim without an answer takes about 400 bytes. */
private const val MAX_CLAIMS = 50_000

/** Returns the refusal of a key that is malformed, expired or from the future; null if it may be used a first time. */
internal fun Transition.validateKey(key: RequestKey): LedgerReply? {
    val parsed = parseKey(key.key)
    val ageMillis = nowMillis - (parsed.get()?.issuedMillis ?: 0)
    return when {
        parsed.isErr -> refused(ErrorCode.BAD_REQUEST, "key: ${parsed.getError()}")
        ageMillis >= KEY_LIFETIME_MILLIS ->
            LedgerReply.Rejected(Outcome.Unknown(ErrorCode.KEY_EXPIRED, "key was issued more than 24 h ago"))
        ageMillis < -KEY_FUTURE_MILLIS ->
            refused(ErrorCode.KEY_IN_FUTURE, "key is dated more than 5 min in the future")
        else -> null
    }
}

/** Schedules the removal of the records of [key], which must be well-formed. */
internal fun Transition.scheduleKeyExpiry(key: RequestKey) {
    val timer = LedgerTimer.KeyExpiry(key)
    state = state.copy(retention = state.retention.add(timer, issuedMillis(key) + KEY_RETENTION_MILLIS))
}

/** Returns the time of issue of [key], which must be well-formed. */
private fun issuedMillis(key: RequestKey): Long = checkNotNull(parseKey(key.key).get()).issuedMillis

internal fun Transition.claim(command: LedgerCommand.Claim): LedgerReply {
    val existing = state.claims.all[command.key]
    return if (existing == null) firstClaim(command) else repeatedClaim(command, existing)
}

private fun Transition.firstClaim(command: LedgerCommand.Claim): LedgerReply {
    val refusal = when {
        command.timeoutMillis !in 1..KEY_LIFETIME_MILLIS ->
            refused(ErrorCode.BAD_REQUEST, "timeout must be between 1 and $KEY_LIFETIME_MILLIS ms")
        state.claims.all.size >= MAX_CLAIMS ->
            refused(ErrorCode.OVERLOADED, "the ledger is limited to $MAX_CLAIMS claims")
        else -> validateKey(command.key)
    }
    if (refusal == null) scheduleKeyExpiry(command.key)
    return refusal ?: grant(command, attempt = 1)
}

private fun Transition.repeatedClaim(command: LedgerCommand.Claim, existing: ClaimRecord): LedgerReply = when {
    existing.bodySha256Hex != command.bodySha256Hex ->
        refused(ErrorCode.KEY_REUSED, "the key belongs to another body")
    existing.outcome is Outcome.Refused && existing.claimId != command.claimId ->
        validateKey(command.key) ?: grant(command, existing.attempt + 1)
    existing.outcome == null && existing.claimId == command.claimId -> LedgerReply.ClaimGranted(existing.attempt)
    else -> LedgerReply.ClaimExists(existing.purpose, existing.outcome)
}

private fun Transition.grant(command: LedgerCommand.Claim, attempt: Int): LedgerReply {
    val deadlineMillis = nowMillis + command.timeoutMillis
    val record = ClaimRecord(
        bodySha256Hex = command.bodySha256Hex,
        purpose = command.purpose,
        claimId = command.claimId,
        entryHost = command.entryHost,
        attempt = attempt,
        deadlineMillis = deadlineMillis,
        issuedMillis = issuedMillis(command.key),
    )
    putClaim(command.key, record)
    if (command.purpose is ClaimPurpose.Request) {
        setTimer(LedgerTimer.ClaimDeadline(command.key, command.claimId), deadlineMillis + CLAIM_GRACE_MILLIS)
    }
    events += LedgerEvent.ClaimGranted(command.key, attempt)
    return LedgerReply.ClaimGranted(attempt)
}

internal fun Transition.putClaim(key: RequestKey, record: ClaimRecord) {
    state = state.copy(claims = state.claims.copy(all = state.claims.all.put(key, record)))
}
