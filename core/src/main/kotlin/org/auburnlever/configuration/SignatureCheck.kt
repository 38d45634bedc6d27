package org.auburnlever.configuration

import org.auburnlever.world.OperatorName

/** Returns why [operator]'s signature over [digestHex] does not count, null if it does. */
fun signatureError(
    operators: List<Operator>,
    operator: OperatorName,
    digestHex: String,
    signatureHex: String,
): ConfigurationError.BadSignature? {
    val known = operators.firstOrNull { it.name == operator }
        ?: return ConfigurationError.BadSignature("operator \"$operator\" is not in the bundle in force")
    val verifies = Ed25519.verifies(known.publicKeyHex, digestHex, signatureHex)
    val message = "the signature of operator \"$operator\" over $digestHex does not verify"
    return if (verifies) null else ConfigurationError.BadSignature(message)
}
