package org.auburnlever.ledger

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.auburnlever.model.DomainName

/**
 * The parts of a caller's idempotency key `[<domain>~]<unix seconds>-<text>`. [pinned] is the failure domain that the
 * key names; null if the owning domain follows from a hash.
 *
 * Example: `thies-a~1764820800-mould-7` is pinned to `thies-a` and was issued at 1764820800 s.
 */
data class IdempotencyKey(val pinned: DomainName?, val issuedAtSeconds: Long, val text: String) {
    /** Time of issue in milliseconds since the Unix epoch. */
    val issuedMillis: Long get() = issuedAtSeconds * MILLIS_PER_SECOND
}

/** Parses a caller's key; the error says what is wrong with it. */
fun parseKey(key: String): Result<IdempotencyKey, String> = when {
    key.length > MAX_KEY_LENGTH -> Err("longer than $MAX_KEY_LENGTH characters")
    key.any { it !in '!'..'~' } -> Err("only visible ASCII characters are allowed")
    else ->
        GRAMMAR.matchEntire(key)?.let { Ok(it.toIdempotencyKey()) } ?: Err("expected [<domain>~]<unix seconds>-<text>")
}

private fun MatchResult.toIdempotencyKey(): IdempotencyKey {
    val (domain, seconds, text) = destructured
    return IdempotencyKey(domain.takeIf { it.isNotEmpty() }?.let(::DomainName), seconds.toLong(), text)
}

private const val MILLIS_PER_SECOND = 1_000L

/** Limits the memory that one claim takes in the ledger. */
private const val MAX_KEY_LENGTH = 200

/** The time has at most 11 digits, which reach the year 5138 and never overflow a Long. */
private val GRAMMAR = Regex("(?:([A-Za-z0-9._-]+)~)?([0-9]{1,11})-(.+)")
