package org.auburnlever.routing

import org.auburnlever.world.DomainName

/** Why an idempotency key has no owner. A request with such a key was not run. */
sealed interface KeyError {
    val message: String

    /** The key does not follow the grammar `[<domain>~]<unix seconds>-<text>`. */
    data class Malformed(val reason: String) : KeyError {
        override val message: String get() = "idempotency key: $reason"
    }

    /** The key is pinned to a failure domain that owns no keys. */
    data class UnknownDomain(val domain: DomainName) : KeyError {
        override val message: String get() = "idempotency key: failure domain $domain owns no keys"
    }

    /** The bundle names no failure domain that owns keys. */
    data object NoClaimDomains : KeyError {
        override val message: String get() = "idempotency key: the bundle has no claimDomains"
    }
}
