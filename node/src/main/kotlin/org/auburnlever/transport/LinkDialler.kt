package org.auburnlever.transport

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.withTimeoutOrNull
import org.auburnlever.model.HostName
import org.auburnlever.peer.PeerMessage
import java.util.concurrent.ConcurrentHashMap

private val logger = KotlinLogging.logger {}

/** Keeps a link open to each peer and opens a new one when it fails or receives no frames for too long. */
internal class LinkDialler(
    private val selector: SelectorManager,
    private val handshaker: Handshaker,
    private val counters: LinkCounters,
) {
    private val links = ConcurrentHashMap<HostName, DialledLink>()

    /** Returns the open link to [host], or null if there is none. */
    fun link(host: HostName): DialledLink? = links[host]

    /** Returns the hosts with an open link on which a frame arrived recently. */
    fun reachable(): Set<HostName> = links.filterValues { it.link.hasRecentFrame }.keys.toSet()

    /** Dials [peer], and again whenever its link ends, until [scope] is cancelled. */
    suspend fun keepDialling(peer: Peer, scope: CoroutineScope) {
        while (scope.isActive) {
            catchLinkErrors("link to ${peer.host}", counters) { dial(peer) }
            delay(REDIAL_MILLIS)
        }
    }

    fun close() = links.values.forEach { it.link.close() }

    private suspend fun dial(peer: Peer) {
        val address = InetSocketAddress(peer.address, peer.port)
        val socket = withTimeoutOrNull(HANDSHAKE_TIMEOUT_MILLIS) { aSocket(selector).tcp().connect(address) } ?: return
        socket.use {
            val frames = FrameChannel(socket)
            val handshake = withTimeoutOrNull(HANDSHAKE_TIMEOUT_MILLIS) { handshaker.dial(frames, peer.host) }
            if (handshake == null) counters.refusedHandshakes.increment() else runLink(frames, handshake)
        }
    }

    private suspend fun runLink(frames: FrameChannel, handshake: HandshakeResult) {
        val link = Link(handshake.peer, frames, handshake.sendAuthenticator, handshake.receiveAuthenticator, counters)
        val dialled = DialledLink(link, PendingCalls())
        links[handshake.peer] = dialled
        counters.opened.increment()
        logger.info { "link to ${handshake.peer} opened" }
        try {
            link.run { message -> complete(dialled, message) }
        } finally {
            links.remove(handshake.peer, dialled)
            dialled.pending.failAll()
            logger.info { "link to ${handshake.peer} closed" }
        }
    }

    /** Completes the call that a reply belongs to; on a dialled link the peer sends nothing but replies. */
    private fun complete(dialled: DialledLink, message: PeerMessage) {
        val reply = message as? PeerMessage.Reply ?: return
        if (!dialled.pending.complete(reply.callId, reply.reply)) counters.lateReplies.increment()
    }

    private companion object {
        const val REDIAL_MILLIS = 200L
    }
}
