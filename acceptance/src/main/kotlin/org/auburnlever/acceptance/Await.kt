package org.auburnlever.acceptance

import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport

/**
 * Calls [poll] every 50 ms until it returns a value that is not null, and returns that value.
 *
 * Throws [CheckFailedException] when [limitMillis] pass without one; its message holds [description] and the text of
 * [state].
 */
fun <T : Any> await(description: String, limitMillis: Long, state: () -> String = { "" }, poll: () -> T?): T {
    val limit = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMillis)
    while (true) {
        poll()?.let { return it }
        ensure(System.nanoTime() < limit) { "$description: not within $limitMillis ms ${state()}".trim() }
        LockSupport.parkNanos(POLL_NANOS)
    }
}

/** Calls [poll] every 50 ms until it returns true; see [await]. */
fun awaitTrue(description: String, limitMillis: Long, state: () -> String = { "" }, poll: () -> Boolean) {
    await(description, limitMillis, state) { if (poll()) Unit else null }
}

private const val POLL_NANOS = 50_000_000L
