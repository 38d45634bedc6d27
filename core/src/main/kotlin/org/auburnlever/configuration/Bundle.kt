package org.auburnlever.configuration

import kotlinx.serialization.Serializable
import org.auburnlever.model.AccountName
import org.auburnlever.model.DomainName
import org.auburnlever.model.OperatorName
import org.auburnlever.model.RegionName
import org.auburnlever.model.ServiceName
import org.auburnlever.model.Shape

/**
 * The configuration of a deployment, which is proposed, signed and put in force as a whole.
 *
 * [version] counts from 1 without gaps. [claimDomains] are the failure domains that own the idempotency keys of jobs
 * and non-repeatable requests; they can't be changed after the first bundle. Tokens are stored as lower-case SHA-256
 * hex digests.
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

/** A group of hosts that can fail together, for example a zone. */
@Serializable
data class FailureDomain(val name: DomainName, val region: RegionName)

/** A person or program that may propose and sign bundles; [publicKeyHex] is the X.509 encoding of an Ed25519 key. */
@Serializable
data class Operator(val name: OperatorName, val publicKeyHex: String)

/** A client account; [share] is its weight in fair queueing, [quotaAccelerators] its limit over all failure domains. */
@Serializable
data class ClientAccount(
    val name: AccountName,
    val tokenDigests: List<String>,
    val share: Int = 1,
    val quotaAccelerators: Int = Int.MAX_VALUE,
    val guarantees: List<Guarantee> = emptyList(),
)

/** Capacity for [count] gangs of [shape] that the account can claim in [failureDomain] at any time. */
@Serializable
data class Guarantee(val failureDomain: DomainName, val shape: Shape, val count: Int = 1)

/** A service; [maxQueue] bounds the queued requests at each entry host. */
@Serializable
data class Service(val name: ServiceName, val maxQueue: Int = 200)

/** Weights of the two measures that the placement policy optimizes; they need not add up to 1. */
@Serializable
data class PolicyWeights(val completionTime: Double = 1.0, val fragmentation: Double = 1.0)

/** Limits that operators may set. */
@Serializable
data class Limits(
    val maxRequestBytes: Int = 1_000_000,
    val maxStoredAnswerBytes: Int = 65_536,
    val preemptionGraceMillis: Long = 2_000,
)
