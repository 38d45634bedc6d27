package org.auburnlever.transport

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.CompletableDeferred
import org.auburnlever.peer.PeerReply
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Calls of one link that wait for their reply. A reply is matched by id; one that comes late finds nothing. */
internal class PendingCalls {
    private val waiting = ConcurrentHashMap<Long, CompletableDeferred<Result<PeerReply, CallError>>>()
    private val lastId = AtomicLong()

    val size: Int get() = waiting.size

    /** Opens a call and returns its id and the place where its reply appears. */
    fun register(): Pair<Long, CompletableDeferred<Result<PeerReply, CallError>>> {
        val callId = lastId.incrementAndGet()
        val deferred = CompletableDeferred<Result<PeerReply, CallError>>()
        waiting[callId] = deferred
        return callId to deferred
    }

    /** Completes the call and says whether anyone was still waiting for it. */
    fun complete(callId: Long, reply: PeerReply): Boolean = waiting.remove(callId)?.complete(Ok(reply)) ?: false

    /** Gives up on a call. */
    fun remove(callId: Long) {
        waiting.remove(callId)
    }

    /** Ends all calls, because the link that would bring their replies is gone. */
    fun failAll() {
        waiting.keys.toList().forEach { callId ->
            waiting.remove(callId)?.complete(Err(CallError.NoReply("the link closed before the reply came")))
        }
    }
}
