package org.auburnlever.transport

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.CompletableDeferred
import org.auburnlever.peer.PeerReply
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference

/** A call that waits for a reply. It can have had an effect only if its frame has begun to be written. */
internal class PendingCall(val id: Long) {
    val reply = CompletableDeferred<Result<PeerReply, CallError>>()
    private val frame = AtomicReference(FrameState.QUEUED)

    private enum class FrameState { QUEUED, WRITTEN, WITHDRAWN }

    /** Marks the frame as written; returns false if the call has been withdrawn, so that it must not be written. */
    fun beginWrite(): Boolean = frame.compareAndSet(FrameState.QUEUED, FrameState.WRITTEN)

    /** Prevents the frame from being written; returns whether it has not been and will not be. */
    fun withdraw(): Boolean =
        frame.compareAndSet(FrameState.QUEUED, FrameState.WITHDRAWN) || frame.get() == FrameState.WITHDRAWN

    /** Returns the error of this call, which ends with [message] and is withdrawn if its frame is still queued. */
    fun failure(message: String): CallError =
        if (withdraw()) CallError.NotSent("$message; it was not sent") else CallError.NoReply(message)
}

/**
 * The calls of one link that wait for a reply.
 *
 * Replies are matched by call id; a reply that arrives after its call was removed is ignored.
 */
internal class PendingCalls {
    private val waiting = ConcurrentHashMap<Long, PendingCall>()
    private val lastId = AtomicLong()

    val size: Int get() = waiting.size

    /** Registers a call. */
    fun register(): PendingCall {
        val call = PendingCall(lastId.incrementAndGet())
        waiting[call.id] = call
        return call
    }

    /** Completes the call with [reply]; returns false if nothing waits for it any more. */
    fun complete(callId: Long, reply: PeerReply): Boolean =
        waiting.remove(callId)?.reply?.complete(Ok(reply)) ?: false

    /** Removes a call that has ended; a later reply to it is ignored. */
    fun remove(callId: Long) {
        waiting.remove(callId)
    }

    /** Fails all calls because their link closed. */
    fun failAll() {
        waiting.keys.toList().forEach { callId ->
            waiting.remove(callId)?.run { reply.complete(Err(failure("the link closed before the reply arrived"))) }
        }
    }
}
