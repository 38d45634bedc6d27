package org.auburnlever.ctl

import java.security.SecureRandom
import java.util.HexFormat

/**
 * Generates an idempotency key for a job or non-repeatable request: issue time in Unix seconds, then random hex digits.
 */
internal fun newIdempotencyKey(nowMillis: Long): String {
    val random = ByteArray(RANDOM_BYTES).also { SecureRandom().nextBytes(it) }
    return "${nowMillis / MILLIS_PER_SECOND}-${HexFormat.of().formatHex(random)}"
}

private const val RANDOM_BYTES = 12
private const val MILLIS_PER_SECOND = 1_000
