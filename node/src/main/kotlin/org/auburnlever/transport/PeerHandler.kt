package org.auburnlever.transport

import org.auburnlever.peer.PeerMessage
import org.auburnlever.peer.PeerReply
import org.auburnlever.peer.PeerRequest
import org.auburnlever.world.HostName

/** Receives what other hosts send. */
interface PeerHandler {
    /** Takes a replica message; must not block. */
    fun onConsensus(message: PeerMessage.Consensus)

    /** Takes another host's gossip; must not block. */
    fun onGossip(gossip: PeerMessage.Gossip)

    /** Answers a call within [timeoutMillis]. */
    suspend fun onCall(from: HostName, request: PeerRequest, timeoutMillis: Long): PeerReply
}
