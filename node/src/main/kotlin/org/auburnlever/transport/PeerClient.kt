package org.auburnlever.transport

import com.github.michaelbull.result.Result
import org.auburnlever.peer.PeerReply
import org.auburnlever.peer.PeerRequest
import org.auburnlever.world.HostName

/** Calls other hosts over their peer links. */
interface PeerClient {
    /** Sends [request] to [host] and waits at most [timeoutMillis] for the reply. */
    suspend fun call(host: HostName, request: PeerRequest, timeoutMillis: Long): Result<PeerReply, CallError>
}

/** Why a call has no reply. */
sealed interface CallError {
    val message: String

    /** There is no link to the host; nothing was sent. */
    data class NotSent(override val message: String) : CallError

    /** The request was sent and no reply came in time, or the link closed. */
    data class NoReply(override val message: String) : CallError
}
