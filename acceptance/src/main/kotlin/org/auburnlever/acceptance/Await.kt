package org.auburnlever.acceptance

import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport

/**
 * Calls [look] every 50 ms until it returns a value that is not null, and returns that value.
 *
 * Throws [CheckFailedException] with [what] and the text of [state] after [limitMillis].
 */
fun <T : Any> await(what: String, limitMillis: Long, state: () -> String = { "" }, look: () -> T?): T {
    val limit = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMillis)
    while (true) {
        look()?.let { return it }
        ensure(System.nanoTime() < limit) { "$what: not within $limitMillis ms ${state()}".trim() }
        LockSupport.parkNanos(POLL_NANOS)
    }
}

/** Calls [look] every 50 ms until it returns true; see [await]. */
fun awaitTrue(what: String, limitMillis: Long, state: () -> String = { "" }, look: () -> Boolean) {
    await(what, limitMillis, state) { if (look()) Unit else null }
}

private const val POLL_NANOS = 50_000_000L
