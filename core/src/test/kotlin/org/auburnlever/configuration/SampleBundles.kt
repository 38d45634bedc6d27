package org.auburnlever.configuration

import org.auburnlever.model.AccountName
import org.auburnlever.model.DomainName
import org.auburnlever.model.RegionName
import org.auburnlever.model.ServiceName
import org.auburnlever.model.Shape

internal fun tokenDigest(digit: Char): String = digit.toString().repeat(64)

/** A valid bundle with two failure domains and one account. */
internal fun sampleBundle(version: Long, operators: List<SigningOperator>, threshold: Int = 2) = Bundle(
    version = version,
    failureDomains = listOf(domain("thies-a"), domain("dakar-a")),
    claimDomains = listOf(DomainName("thies-a"), DomainName("dakar-a")),
    operators = operators.map { it.operator },
    signOffThreshold = threshold,
    accounts = listOf(
        ClientAccount(
            name = AccountName("dakar-glass"),
            tokenDigests = listOf(tokenDigest('a')),
            quotaAccelerators = 32,
            guarantees = listOf(Guarantee(DomainName("thies-a"), Shape(2, 4), count = 2)),
        ),
    ),
    services = listOf(Service(ServiceName("mould"))),
    platformTokenDigests = listOf(tokenDigest('b')),
)

private fun domain(name: String) = FailureDomain(DomainName(name), RegionName("senegal"))
