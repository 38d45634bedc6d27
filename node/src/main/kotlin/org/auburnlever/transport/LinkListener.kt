package org.auburnlever.transport

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.auburnlever.peer.PeerMessage
import org.auburnlever.peer.PeerReply

/** Accepts links from other hosts and passes the messages and calls on them to [handler]. */
internal class LinkListener(
    private val self: Peer,
    private val handshaker: Handshaker,
    private val handler: PeerHandler,
    private val counters: LinkCounters,
) {
    private var listener: ServerSocket? = null

    /** Binds this host's address and port; throws `IOException` if that fails. */
    suspend fun bind(selector: SelectorManager) {
        listener = aSocket(selector).tcp().bind(InetSocketAddress(self.address, self.port)) { reuseAddress = true }
    }

    /** Accepts links until [scope] is cancelled. */
    suspend fun acceptLinks(scope: CoroutineScope) {
        val bound = checkNotNull(listener) { "the listener is not bound" }
        while (scope.isActive) {
            val socket = bound.accept()
            scope.launch { catchLinkErrors("accepted link", counters) { serve(socket) } }
        }
    }

    fun close() {
        listener?.close()
    }

    private suspend fun serve(socket: Socket) {
        socket.use {
            val frames = FrameChannel(socket)
            val handshake = withTimeoutOrNull(HANDSHAKE_TIMEOUT_MILLIS) { handshaker.accept(frames) }
            if (handshake == null) {
                counters.refusedHandshakes.increment()
                return
            }
            val link =
                Link(handshake.peer, frames, handshake.sendAuthenticator, handshake.receiveAuthenticator, counters)
            link.run { message -> receive(link, message) }
        }
    }

    private fun CoroutineScope.receive(link: Link, message: PeerMessage) {
        when (message) {
            is PeerMessage.Consensus -> handler.onConsensus(message)
            is PeerMessage.Gossip -> handler.onGossip(message)
            is PeerMessage.Call -> launch { answer(link, message) }
            is PeerMessage.Reply -> counters.lateReplies.increment()
            is PeerMessage.Part -> throw FrameException("a part of a message holds another part")
        }
    }

    private suspend fun answer(link: Link, call: PeerMessage.Call) {
        val limitMillis = call.timeoutMillis
        val reply = withTimeoutOrNull(limitMillis) { handler.onCall(link.peer, call.request, limitMillis) }
            ?: PeerReply.Undecided("no answer within $limitMillis ms")
        if (!link.offer(PeerMessage.Reply(call.callId, reply))) counters.droppedMessages.increment()
    }
}
