package org.auburnlever.transport

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.CompletableDeferred
import org.auburnlever.peer.PeerReply
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/**
 * The calls of one link that wait for a reply.
 *
 * Replies are matched by call id; a reply that arrives after its call was removed is ignored.
 */
internal class PendingCalls {
    private val waiting = ConcurrentHashMap<Long, CompletableDeferred<Result<PeerReply, CallError>>>()
    private val lastId = AtomicLong()

    val size: Int get() = waiting.size

    /** Registers a call; returns its id and a deferred that completes with the reply. */
    fun register(): Pair<Long, CompletableDeferred<Result<PeerReply, CallError>>> {
        val callId = lastId.incrementAndGet()
        val deferred = CompletableDeferred<Result<PeerReply, CallError>>()
        waiting[callId] = deferred
        return callId to deferred
    }

    /** Completes the call with [reply]; returns false if nothing waits for it any more. */
    fun complete(callId: Long, reply: PeerReply): Boolean = waiting.remove(callId)?.complete(Ok(reply)) ?: false

    /** Removes a call that has ended; a later reply to it is ignored. */
    fun remove(callId: Long) {
        waiting.remove(callId)
    }

    /** Fails all calls because their link closed. */
    fun failAll() {
        waiting.keys.toList().forEach { callId ->
            waiting.remove(callId)?.complete(Err(CallError.NoReply("the link closed before the reply arrived")))
        }
    }
}
