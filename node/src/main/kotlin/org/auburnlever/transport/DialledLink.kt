package org.auburnlever.transport

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import kotlinx.coroutines.withTimeoutOrNull
import org.auburnlever.peer.PeerMessage
import org.auburnlever.peer.PeerReply
import org.auburnlever.peer.PeerRequest

/** A link that this host dialled, with the calls that wait for replies on it. */
internal class DialledLink(val link: Link, val pending: PendingCalls) {
    /** Sends [request] and waits at most [timeoutMillis] for the reply. */
    suspend fun call(request: PeerRequest, timeoutMillis: Long): Result<PeerReply, CallError> {
        val call = pending.register()
        try {
            if (!link.offer(PeerMessage.Call(call.id, timeoutMillis, request), call::beginWrite)) {
                return Err(CallError.NotSent("not queued for ${link.peer}: too large, queue full or link closed"))
            }
            return withTimeoutOrNull(timeoutMillis) { call.reply.await() }
                ?: Err(call.failure("${link.peer} did not reply within $timeoutMillis ms"))
        } finally {
            call.withdraw()
            pending.remove(call.id)
        }
    }
}
