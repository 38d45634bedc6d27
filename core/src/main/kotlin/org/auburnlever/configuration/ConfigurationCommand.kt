package org.auburnlever.configuration

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnlever.model.OperatorName

/** Command to the replicated configuration group. */
@Serializable
sealed interface ConfigurationCommand {
    /** Proposes [bundle]; [signatureHex] is the operator's Ed25519 signature over the bundle's digest. */
    @Serializable
    @SerialName("propose")
    data class Propose(val bundle: Bundle, val operator: OperatorName, val signatureHex: String) : ConfigurationCommand

    /** Adds an operator's signature to the open proposal with [digestHex]. */
    @Serializable
    @SerialName("sign_off")
    data class SignOff(
        val digestHex: String,
        val operator: OperatorName,
        val signatureHex: String,
    ) : ConfigurationCommand
}

/** Answer to a [ConfigurationCommand]. */
@Serializable
sealed interface ConfigurationReply {
    /** The proposal is open and needs [missing] more signatures. */
    @Serializable
    @SerialName("pending")
    data class Pending(val version: Long, val digestHex: String, val missing: Int) : ConfigurationReply

    /** The bundle is accepted; a resend gets the same reply. */
    @Serializable
    @SerialName("accepted")
    data class Accepted(val version: Long, val digestHex: String) : ConfigurationReply

    /** Another bundle has this version number, or the number does not follow the accepted one. */
    @Serializable
    @SerialName("conflict")
    data class Conflict(val acceptedVersion: Long, val winnerDigestHex: String?) : ConfigurationReply

    /** The bundle or the signature is not valid. */
    @Serializable
    @SerialName("refused")
    data class Refused(val error: ConfigurationError) : ConfigurationReply
}

/** Why a bundle or signature is refused. */
@Serializable
sealed interface ConfigurationError {
    val message: String

    /** A field of the bundle is out of range or contradicts another. */
    @Serializable
    @SerialName("invalid_bundle")
    data class InvalidBundle(
        override val message: String,
        val problems: List<FieldProblem> = emptyList(),
    ) : ConfigurationError {
        companion object {
            /** Creates an error whose message lists all [problems], one per line. */
            fun of(problems: List<FieldProblem>): InvalidBundle = InvalidBundle(problems.joinToString("\n"), problems)
        }
    }

    /** The signature does not match or the operator is not known. */
    @Serializable
    @SerialName("bad_signature")
    data class BadSignature(override val message: String) : ConfigurationError

    /** No open proposal has this digest. */
    @Serializable
    @SerialName("unknown_proposal")
    data class UnknownProposal(override val message: String) : ConfigurationError
}
