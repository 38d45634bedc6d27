package org.auburnlever.transport

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import io.ktor.network.selector.SelectorManager
import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import org.auburnlever.model.HostName
import org.auburnlever.peer.PeerMessage
import org.auburnlever.peer.PeerReply
import org.auburnlever.peer.PeerRequest
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.Executors

/**
 * Maintains the links of one host: dials every other host, accepts their links, and sends messages and calls.
 *
 * Every pair of hosts has two links, one dialled by each side. A call and its reply use the link that the caller
 * dialled, so that the caller itself detects a failure of that link. [onFault] receives exceptions that are not
 * failures of a single link; the host stops when it gets one.
 */
class PeerTransport(
    override val self: Peer,
    others: List<Peer>,
    key: SharedKey,
    handler: PeerHandler,
    registry: MeterRegistry,
    onFault: (Throwable) -> Unit,
) : PeerClient, PeerDirectory {
    private val executor = Executors.newFixedThreadPool(THREADS) { Thread(it, "peer-links").apply { isDaemon = true } }
    private val dispatcher = executor.asCoroutineDispatcher()
    private val exceptionHandler = CoroutineExceptionHandler { _, fault -> onFault(fault) }
    private val scope = CoroutineScope(SupervisorJob() + dispatcher + exceptionHandler)
    private val selector = SelectorManager(dispatcher)
    private val counters = LinkCounters(registry)
    private val handshaker = Handshaker(self.host, key)
    private val listener = LinkListener(self, handshaker, handler, counters)
    private val dialler = LinkDialler(selector, handshaker, counters)
    private val peers = CopyOnWriteArrayList(others)

    override val others: List<Peer> get() = peers

    /** Binds the listener and starts dialling; throws `IOException` if the address can't be bound. */
    suspend fun start() {
        listener.bind(selector)
        scope.launch { listener.acceptLinks(scope) }
        others.forEach { peer -> scope.launch { dialler.keepDialling(peer, scope) } }
    }

    /** Starts dialling [peer], unless it is this host or already known; call it after [start]. */
    @Synchronized
    fun add(peer: Peer) {
        if (peer.host == self.host || peers.any { it.host == peer.host }) return
        peers += peer
        scope.launch { dialler.keepDialling(peer, scope) }
    }

    override fun reachable(): Set<HostName> = dialler.reachable()

    /** Sends [message] to [host] if a link is open; delivery is not guaranteed. */
    fun send(host: HostName, message: PeerMessage) {
        val sent = dialler.link(host)?.link?.offer(message) ?: false
        if (!sent) counters.droppedMessages.increment()
    }

    override suspend fun call(
        host: HostName,
        request: PeerRequest,
        timeoutMillis: Long,
    ): Result<PeerReply, CallError> =
        dialler.link(host)?.call(request, timeoutMillis) ?: Err(CallError.NotSent("no link to $host"))

    /** Closes all links and the listener, and stops the threads. */
    fun close() {
        scope.cancel()
        dialler.close()
        listener.close()
        selector.close()
        executor.shutdown()
    }

    private companion object {
        /** One thread runs the selector, the others read and write frames and answer calls. */
        const val THREADS = 3
    }
}
