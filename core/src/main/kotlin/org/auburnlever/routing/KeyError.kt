package org.auburnlever.routing

import org.auburnlever.model.DomainName

/** Why an idempotency key has no owner. The request with this key was not run. */
sealed interface KeyError {
    val message: String

    /** The key does not follow the grammar `[<domain>~]<unix seconds>-<text>`. */
    data class Malformed(val reason: String) : KeyError {
        override val message: String get() = "idempotency key: $reason"
    }

    /** The key is pinned to a failure domain that is not among the bundle's claim domains. */
    data class UnknownDomain(val domain: DomainName) : KeyError {
        override val message: String get() = "idempotency key: failure domain $domain is not in claimDomains"
    }

    /** The bundle has no claim domains, which own the keys. */
    data object NoClaimDomains : KeyError {
        override val message: String get() = "idempotency key: no owner, because the bundle has no claimDomains"
    }
}
