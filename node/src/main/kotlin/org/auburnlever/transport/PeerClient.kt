package org.auburnlever.transport

import com.github.michaelbull.result.Result
import org.auburnlever.model.HostName
import org.auburnlever.peer.PeerReply
import org.auburnlever.peer.PeerRequest

/** Calls other hosts over the links to them. */
interface PeerClient {
    /** Sends [request] to [host] and waits at most [timeoutMillis] for the reply. */
    suspend fun call(host: HostName, request: PeerRequest, timeoutMillis: Long): Result<PeerReply, CallError>
}

/** Reason why a call has no reply. */
sealed interface CallError {
    val message: String

    /** The request was not sent: there is no link to the host, or the link ended before its turn. */
    data class NotSent(override val message: String) : CallError

    /** The request was queued, but no reply arrived in time or the link closed; the host may have handled it. */
    data class NoReply(override val message: String) : CallError
}
