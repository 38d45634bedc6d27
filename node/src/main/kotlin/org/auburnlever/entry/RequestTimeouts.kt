package org.auburnlever.entry

/** How long a request may take: [defaultMillis] if its caller says nothing, at most [maxMillis]. */
data class RequestTimeouts(
    val defaultMillis: Long = DEFAULT_TIMEOUT_MILLIS,
    val maxMillis: Long = MAX_TIMEOUT_MILLIS,
)

private const val DEFAULT_TIMEOUT_MILLIS = 30_000L
private const val MAX_TIMEOUT_MILLIS = 600_000L
