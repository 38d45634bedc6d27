package org.auburnlever.entry

/** Limits of request timeouts: [defaultMillis] applies without a timeout header, and [maxMillis] is the maximum. */
data class RequestTimeouts(
    val defaultMillis: Long = DEFAULT_TIMEOUT_MILLIS,
    val maxMillis: Long = MAX_TIMEOUT_MILLIS,
)

private const val DEFAULT_TIMEOUT_MILLIS = 30_000L
private const val MAX_TIMEOUT_MILLIS = 600_000L
