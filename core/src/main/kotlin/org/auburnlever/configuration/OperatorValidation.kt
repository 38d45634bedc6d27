package org.auburnlever.configuration

import com.github.michaelbull.result.onFailure

/** Validates operators and their signature threshold, in a bundle or as genesis operators in the settings. */
fun ProblemCollector.checkOperators(
    operators: List<Operator>,
    threshold: Int,
    operatorsPath: String,
    thresholdPath: String,
) {
    requireSize(operatorsPath, operators, 1..BundleRanges.MAX_OPERATORS)
    operators.forEachIndexed { index, operator ->
        requireName("$operatorsPath[$index].name", operator.name.value)
        Ed25519.publicKey(operator.publicKeyHex).onFailure {
            val permitted = "the X.509 encoding of an Ed25519 public key as lower-case hex"
            add("$operatorsPath[$index].publicKeyHex", shortened(operator.publicKeyHex), permitted)
        }
    }
    requireDistinct(operatorsPath, ".name", operators.map { it.name.value })
    // With one key under two operator names, a single person could reach the threshold alone.
    requireDistinct(operatorsPath, ".publicKeyHex", operators.map { it.publicKeyHex }, ::shortened)
    requireRange(thresholdPath, threshold, 1..maxOf(1, operators.size))
}

private fun shortened(text: String): String =
    if (text.length <= SHOWN_CHARACTERS) "\"$text\"" else "\"${text.take(SHOWN_CHARACTERS)}...\""

private const val SHOWN_CHARACTERS = 16
