package org.auburnlever.entry

import java.util.concurrent.atomic.AtomicInteger

/** Counts requests in progress, so that a shutdown can wait for them. */
internal class RequestsInProgress {
    private val running = AtomicInteger()

    @Volatile
    private var closed = false

    /** Number of requests that have not ended. */
    val count: Int get() = running.get()

    /** Whether new requests are refused. */
    val isClosed: Boolean get() = closed

    /** Refuses further requests. */
    fun close() {
        closed = true
    }

    /** Runs [block] and counts it as a request in progress. */
    suspend fun <T> track(block: suspend () -> T): T {
        running.incrementAndGet()
        try {
            return block()
        } finally {
            running.decrementAndGet()
        }
    }

    /**
     * Runs [block], or returns null after [close]. A request is counted before the check, so a shutdown that reads a
     * count of 0 after [close] cannot miss a request.
     */
    suspend fun <T : Any> trackUnlessClosed(block: suspend () -> T): T? = track { if (closed) null else block() }
}
