package org.auburnlever.entry

import java.util.concurrent.atomic.AtomicLong

/** Bounds the memory of request bodies that are held at one time to [limitBytes]. */
internal class BodyMemory(private val limitBytes: Long) {
    private val used = AtomicLong()

    /** Bytes that are reserved now. */
    val usedBytes: Long get() = used.get()

    /** Reserves [bytes]; false if they would exceed the limit, and then nothing is reserved. */
    fun reserve(bytes: Long): Boolean {
        val fits = used.addAndGet(bytes) <= limitBytes
        if (!fits) used.addAndGet(-bytes)
        return fits
    }

    /** Gives [bytes] back that were reserved. */
    fun release(bytes: Long) {
        used.addAndGet(-bytes)
    }
}
