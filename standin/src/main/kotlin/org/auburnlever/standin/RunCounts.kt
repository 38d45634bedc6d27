package org.auburnlever.standin

import java.security.MessageDigest
import java.util.HexFormat

/**
 * Counts how often each request ran in this process, by idempotency key, request id and body digest.
 *
 * Keeps at most [capacity] identifiers and drops the oldest first, so that a load test cannot exhaust the memory.
 */
internal class RunCounts(private val capacity: Int = DEFAULT_CAPACITY) {
    private val counts = object : LinkedHashMap<String, Int>() {
        override fun removeEldestEntry(eldest: Map.Entry<String, Int>): Boolean = size > capacity
    }

    /** Adds one run to the count of each of [identifiers] and returns the highest of these counts. */
    @Synchronized
    fun add(identifiers: List<String>): Int = identifiers.maxOf { counts.merge(it, 1, Int::plus) ?: 1 }

    /** Returns how often the request with [identifier] ran. */
    @Synchronized
    fun of(identifier: String): Int = counts[identifier] ?: 0

    /** Returns all counts. */
    @Synchronized
    fun all(): Map<String, Int> = counts.toMap()

    private companion object {
        const val DEFAULT_CAPACITY = 100_000
    }
}

/** SHA-256 of [bytes] as lower-case hex. */
internal fun sha256Hex(bytes: ByteArray): String =
    HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes))
