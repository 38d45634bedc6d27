package org.auburnlever.transport

import org.auburnlever.model.HostName
import org.auburnlever.peer.PeerMessage
import org.auburnlever.peer.PeerReply
import org.auburnlever.peer.PeerRequest

/** Handles messages and calls from other hosts. */
interface PeerHandler {
    /** Handles a consensus message between replicas; must not block. */
    fun onConsensus(message: PeerMessage.Consensus)

    /** Handles another host's gossip; must not block. */
    fun onGossip(gossip: PeerMessage.Gossip)

    /** Answers a call within [timeoutMillis]; is cancelled after that. */
    suspend fun onCall(from: HostName, request: PeerRequest, timeoutMillis: Long): PeerReply
}
