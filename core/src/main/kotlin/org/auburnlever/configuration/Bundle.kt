package org.auburnlever.configuration

import kotlinx.serialization.Serializable
import org.auburnlever.world.AccountName
import org.auburnlever.world.DomainName
import org.auburnlever.world.OperatorName
import org.auburnlever.world.RegionName
import org.auburnlever.world.ServiceName
import org.auburnlever.world.Shape

/**
 * The configuration of a deployment, proposed, signed off and put in force as one.
 *
 * [version] counts from 1 without gaps. [claimDomains] own the keys of jobs and non-repeatable requests and can't be
 * changed after the first bundle. Tokens are stored as lower-case SHA-256 hex digests.
 */
@Serializable
data class Bundle(
    val formatVersion: Int = 1,
    val version: Long,
    val failureDomains: List<FailureDomain>,
    val claimDomains: List<DomainName>,
    val operators: List<Operator>,
    val signOffThreshold: Int,
    val accounts: List<ClientAccount>,
    val services: List<Service>,
    val platformTokenDigests: List<String>,
    val policy: PolicyWeights = PolicyWeights(),
    val limits: Limits = Limits(),
)

/** A part of the deployment that fails as one. */
@Serializable
data class FailureDomain(val name: DomainName, val region: RegionName)

/** A person or program that may propose and sign bundles; [publicKeyHex] is the X.509 encoding of an Ed25519 key. */
@Serializable
data class Operator(val name: OperatorName, val publicKeyHex: String)

/** A client account; [share] is its weight in queue order, [quotaAccelerators] its limit over all domains. */
@Serializable
data class ClientAccount(
    val name: AccountName,
    val tokenDigests: List<String>,
    val share: Int = 1,
    val quotaAccelerators: Int = Int.MAX_VALUE,
    val guarantees: List<Guarantee> = emptyList(),
)

/** [count] shapes that the account can claim at any time in [failureDomain]. */
@Serializable
data class Guarantee(val failureDomain: DomainName, val shape: Shape, val count: Int = 1)

/** A service; [maxQueue] bounds the waiting requests of one entry host. */
@Serializable
data class Service(val name: ServiceName, val maxQueue: Int = 200)

/** What the placement policy values; the weights of the two measures need not add up to 1. */
@Serializable
data class PolicyWeights(val completionTime: Double = 1.0, val fragmentation: Double = 1.0)

/** Bounds that operators may set. */
@Serializable
data class Limits(
    val maxRequestBytes: Int = 1_000_000,
    val maxStoredAnswerBytes: Int = 65_536,
    val preemptionGraceMillis: Long = 2_000,
)
