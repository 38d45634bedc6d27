package org.auburnlever.configuration

import org.auburnlever.model.OperatorName

/** Verifies the signature of [operator] over [digestHex]; returns the error, or null if it is valid. */
fun signatureError(
    operators: List<Operator>,
    operator: OperatorName,
    digestHex: String,
    signatureHex: String,
): ConfigurationError.BadSignature? {
    val known = operators.firstOrNull { it.name == operator }
        ?: return ConfigurationError.BadSignature("operator \"$operator\" is not one of the operators who may sign now")
    val verifies = Ed25519.verifies(known.publicKeyHex, digestHex, signatureHex)
    val message = "the signature of operator \"$operator\" over $digestHex does not verify"
    return if (verifies) null else ConfigurationError.BadSignature(message)
}
