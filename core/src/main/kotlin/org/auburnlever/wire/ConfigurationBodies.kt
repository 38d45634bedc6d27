package org.auburnlever.wire

import kotlinx.serialization.Serializable
import org.auburnlever.configuration.Bundle
import org.auburnlever.model.OperatorName

/**
 * Body of `POST /v1/configuration/proposals`: exactly one of [bundle] and [bundleText], and a signature.
 *
 * [bundleText] is the text of the bundle file, which may hold comments. [signatureHex] is the Ed25519 signature of
 * [operator] over the hex text of the bundle's digest.
 */
@Serializable
data class ProposalBody(
    val bundle: Bundle? = null,
    val bundleText: String? = null,
    val operator: OperatorName,
    val signatureHex: String,
)

/** Body of `POST /v1/configuration/sign-offs`; see [ProposalBody]. */
@Serializable
data class SignOffBody(val digestHex: String, val operator: OperatorName, val signatureHex: String)

/**
 * Answer to a proposal or sign-off that is neither refused nor in conflict.
 *
 * [state] is `pending` or `accepted`; [missingSignatures] is 0 when accepted.
 */
@Serializable
data class ConfigurationChangeView(
    val state: String,
    val version: Long,
    val digestHex: String,
    val missingSignatures: Int = 0,
)

/**
 * Answer to a proposal or sign-off whose version number is taken or does not follow [acceptedVersion].
 *
 * It has the fields of [ErrorBody] and, if known, the digest of the bundle that has the version number.
 */
@Serializable
data class ConflictBody(
    val code: ErrorCode,
    val message: String,
    val outcome: String,
    val acceptedVersion: Long,
    val winnerDigestHex: String? = null,
)

/** Answer of `GET /v1/configuration`: the bundle in force on the host that answers. */
@Serializable
data class ConfigurationView(val version: Long, val digestHex: String, val bundle: Bundle)
