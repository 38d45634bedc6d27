package org.auburnlever.ledger

import org.auburnlever.world.DomainName

/**
 * A parsed caller's key `[<domain>~]<unix seconds>-<text>`.
 *
 * Example: `thies-a~1764820800-mould-7` is pinned to `thies-a` and was issued at 1764820800 s.
 */
data class CallerKey(val domain: DomainName?, val issuedMillis: Long, val text: String) {
    companion object {
        private const val MAX_LENGTH = 256
        private const val MAX_DIGITS = 12
        private const val MILLIS_PER_SECOND = 1_000L

        /** Parses [key]; null when it does not follow the grammar. */
        fun parse(key: String): CallerKey? {
            val domain = key.substringBefore('~', missingDelimiterValue = "")
            val rest = key.substringAfter('~')
            val digits = rest.substringBefore('-', missingDelimiterValue = "")
            val text = rest.substringAfter('-', missingDelimiterValue = "")
            val pinned = key.contains('~')
            val wellFormed = key.length <= MAX_LENGTH && isSeconds(digits) && text.isNotEmpty()
            return if (!wellFormed || pinned && domain.isEmpty()) {
                null
            } else {
                CallerKey(DomainName(domain).takeIf { pinned }, digits.toLong() * MILLIS_PER_SECOND, text)
            }
        }

        private fun isSeconds(digits: String): Boolean =
            digits.length in 1..MAX_DIGITS && digits.all { it in '0'..'9' }
    }
}
