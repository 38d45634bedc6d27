package org.auburnlever.entry

import java.util.concurrent.atomic.AtomicLong

/** Limits the memory of all request bodies that are held at one time to [limitBytes]. */
internal class BodyMemory(private val limitBytes: Long) {
    private val used = AtomicLong()

    /** Number of bytes that are currently reserved. */
    val usedBytes: Long get() = used.get()

    /** Reserves [bytes]; returns false, without a reservation, if they would exceed the limit. */
    fun reserve(bytes: Long): Boolean {
        val fits = used.addAndGet(bytes) <= limitBytes
        if (!fits) used.addAndGet(-bytes)
        return fits
    }

    /** Releases [bytes] that were reserved. */
    fun release(bytes: Long) {
        used.addAndGet(-bytes)
    }
}
