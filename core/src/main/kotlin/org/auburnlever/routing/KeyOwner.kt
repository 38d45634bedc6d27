package org.auburnlever.routing

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.toResultOr
import org.auburnlever.ledger.RequestKey
import org.auburnlever.world.DomainName
import java.nio.ByteBuffer
import java.security.MessageDigest

/** The parts of an idempotency key; [pinned] is null when the owner follows from the hash. */
data class IssuedKey(val pinned: DomainName?, val issuedAtSeconds: Long, val text: String)

/**
 * Finds the failure domain whose ledger decides about a key.
 *
 * A key is `[<domain>~]<unix seconds>-<text>`, for example `1764820800-order-17` or `thies-a~1764820800-order-17`. A
 * pinned key belongs to its domain, any other to the domain with the highest SHA-256 of domain, account and key, so
 * that every host finds the same owner without asking.
 */
class KeyOwner(private val claimDomains: List<DomainName>) {
    /** Returns the failure domain that owns [key]. */
    fun owner(key: RequestKey): Result<DomainName, KeyError> = parseKey(key.key).flatMap { owner(key, it) }

    private fun owner(key: RequestKey, parsed: IssuedKey): Result<DomainName, KeyError> =
        when (val pinned = parsed.pinned) {
            null -> highest(key).toResultOr { KeyError.NoClaimDomains }
            in claimDomains -> Ok(pinned)
            else -> Err(KeyError.UnknownDomain(pinned))
        }

    private fun highest(key: RequestKey): DomainName? =
        claimDomains.maxWithOrNull(compareBy<DomainName> { weight(it, key) }.thenBy { it.value })

    private fun weight(domain: DomainName, key: RequestKey): ULong {
        val text = "${domain.value}\n${key.account.value}\n${key.key}"
        val digest = MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray())
        return ByteBuffer.wrap(digest).long.toULong()
    }
}

/** Parses an idempotency key. */
fun parseKey(key: String): Result<IssuedKey, KeyError> =
    when {
        key.length > MAX_KEY_LENGTH -> malformed("longer than $MAX_KEY_LENGTH characters")
        key.any { it !in '!'..'~' } -> malformed("only visible ASCII characters are allowed")
        else -> GRAMMAR.matchEntire(key)?.let { Ok(it.toIssuedKey()) }
            ?: malformed("expected [<domain>~]<unix seconds>-<text>")
    }

private fun malformed(reason: String) = Err(KeyError.Malformed(reason))

private fun MatchResult.toIssuedKey(): IssuedKey {
    val (domain, seconds, text) = destructured
    return IssuedKey(domain.takeIf { it.isNotEmpty() }?.let(::DomainName), seconds.toLong(), text)
}

/** Bounds the memory of one claim in the ledger. */
private const val MAX_KEY_LENGTH = 200

/** At most 11 digits, which hold every second up to the year 5138 and never overflow a Long. */
private val GRAMMAR = Regex("(?:([A-Za-z0-9._-]+)~)?([0-9]{1,11})-(.+)")
