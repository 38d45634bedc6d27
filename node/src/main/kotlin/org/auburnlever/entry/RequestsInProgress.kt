package org.auburnlever.entry

import java.util.concurrent.atomic.AtomicInteger

/** Counts requests, so that a shutdown can wait for them. */
internal class RequestsInProgress {
    private val running = AtomicInteger()

    @Volatile
    private var closed = false

    /** Requests that have not ended. */
    val count: Int get() = running.get()

    /** Says whether new requests are turned away. */
    val isClosed: Boolean get() = closed

    /** Turns new requests away from now on. */
    fun close() {
        closed = true
    }

    /** Counts [block] while it runs. */
    suspend fun <T> track(block: suspend () -> T): T {
        running.incrementAndGet()
        try {
            return block()
        } finally {
            running.decrementAndGet()
        }
    }

    /**
     * Runs [block], or returns null after [close]. A request is counted before the check, so a shutdown that sees no
     * requests after [close] has missed none.
     */
    suspend fun <T : Any> trackUnlessClosed(block: suspend () -> T): T? = track { if (closed) null else block() }
}
