package org.auburnlever.host

private const val NANOS_PER_MILLI = 1_000_000L

/**
 * Gives the time in milliseconds since the Unix epoch, without jumps.
 *
 * The system clock is read once, at the start; from then on the monotonic clock advances the time. Leases and deadlines
 * depend on elapsed time only, so a correction of the system clock must not end them early.
 */
class HostClock {
    private val startMillis = System.currentTimeMillis()
    private val startNanos = System.nanoTime()

    /** Returns the current time. */
    fun nowMillis(): Long = startMillis + (System.nanoTime() - startNanos) / NANOS_PER_MILLI

    /** Returns the system's time of day, which also advances while the machine is suspended, and may jump. */
    fun timeOfDayMillis(): Long = System.currentTimeMillis()
}
