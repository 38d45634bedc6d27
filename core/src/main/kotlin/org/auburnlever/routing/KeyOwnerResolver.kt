package org.auburnlever.routing

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.mapError
import com.github.michaelbull.result.toResultOr
import org.auburnlever.ledger.IdempotencyKey
import org.auburnlever.ledger.RequestKey
import org.auburnlever.ledger.parseKey
import org.auburnlever.model.DomainName
import java.nio.ByteBuffer
import java.security.MessageDigest

/**
 * Finds the failure domain that owns an idempotency key: its ledger decides whether a request with the key may run.
 *
 * A key is `[<domain>~]<unix seconds>-<text>`, for example `1764820800-order-17` or `thies-a~1764820800-order-17`. The
 * domain in front pins the key to its owner. The owner of any other key is found by rendezvous hashing: it is the
 * domain with the highest SHA-256 of domain, account and key, so that every host finds the same owner without
 * communication.
 */
class KeyOwnerResolver(private val claimDomains: List<DomainName>) {
    /** Returns the failure domain that owns [key], or why there is none. */
    fun owner(key: RequestKey): Result<DomainName, KeyError> =
        parseKey(key.key).mapError { KeyError.Malformed(it) }.flatMap { owner(key, it) }

    private fun owner(key: RequestKey, parsed: IdempotencyKey): Result<DomainName, KeyError> =
        when (val pinned = parsed.pinned) {
            null -> rendezvousOwner(key).toResultOr { KeyError.NoClaimDomains }
            in claimDomains -> Ok(pinned)
            else -> Err(KeyError.UnknownDomain(pinned))
        }

    private fun rendezvousOwner(key: RequestKey): DomainName? =
        claimDomains.maxWithOrNull(compareBy<DomainName> { weight(it, key) }.thenBy { it.value })

    private fun weight(domain: DomainName, key: RequestKey): ULong {
        val text = "${domain.value}\n${key.account.value}\n${key.key}"
        val digest = MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray())
        return ByteBuffer.wrap(digest).long.toULong()
    }
}
