package org.auburnlever.host

private const val NANOS_PER_MILLI = 1_000_000L

/**
 * Milliseconds since the Unix epoch that never jump: read once at the start, then advanced by the monotonic clock.
 *
 * Leases and deadlines depend on elapsed time only, so a correction of the system clock must not end them early.
 */
class HostClock {
    private val startMillis = System.currentTimeMillis()
    private val startNanos = System.nanoTime()

    /** The present time. */
    fun nowMillis(): Long = startMillis + (System.nanoTime() - startNanos) / NANOS_PER_MILLI
}
