package org.auburnlever.transport

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import org.auburnlever.model.DomainName
import org.auburnlever.model.HostName
import org.auburnlever.model.RegionName
import org.auburnlever.peer.PeerMessage
import org.auburnlever.peer.PeerReply
import org.auburnlever.peer.PeerRequest
import org.auburnlever.workload.FleetCall
import java.net.ServerSocket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CyclicBarrier
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class UnsentCallsTest {
    private val registry = SimpleMeterRegistry()
    private val transports = mutableListOf<PeerTransport>()
    private val first = peer("first")
    private val second = peer("second")
    private val relay = FreezableRelay(second.port)
    private val handler = RecordingHandler()
    private val lastId = AtomicInteger()

    @AfterTest
    fun closeTransports() {
        transports.forEach { it.close() }
        relay.close()
    }

    /** Guards against a call that is reported as not sent while its frame waits for a slow link, and arrives later. */
    @Test
    fun `a call that times out in the queue of a stalled link never arrives`() = runBlocking {
        val caller = startLink()
        relay.stall()
        val calls = (1..STALLED_CALLS).map { async { call(caller, LARGE_CHARACTERS, STALLED_CALL_MILLIS) } }
        val outcomes = calls.awaitAll()
        assertIs<CallError.NoReply>(outcomes.first().result.getError(), "the first frame has begun to be written")
        assertIs<CallError.NotSent>(outcomes.last().result.getError(), "the last frame waits behind the first ones")
        relay.resume()
        awaitDelivery(caller)
        assertUnsentNeverArrived(outcomes)
    }

    /** Guards against a call that is reported as not sent, and arrives, as its link stalls, closes or is replaced. */
    @Test
    fun `no call that was reported as not sent arrives although links stall and close`() = runBlocking {
        val caller = startLink()
        val random = Random(1)
        val outcomes = (1..ROUNDS).flatMap {
            coroutineScope {
                launch { disturb(Random(random.nextInt())) }
                (1..CALLS).map { callAtRandom(caller, random) }.awaitAll().filterNotNull()
            }
        }
        awaitDelivery(caller)
        println("calls by result: ${outcomes.groupingBy { it.kind }.eachCount()}")
        assertTrue(outcomes.any { it.result.isOk })
        assertUnsentNeverArrived(outcomes)
    }

    /** Guards against a frame that is written although its call was reported as not sent at the same moment. */
    @Test
    fun `a frame is either written or withdrawn`() {
        val barrier = CyclicBarrier(2)
        val calls = List(RACES) { PendingCalls().let { pending -> pending to pending.register() } }
        val written = BooleanArray(RACES)
        val writer = thread {
            calls.forEachIndexed { index, (_, call) ->
                barrier.await()
                written[index] = call.beginWrite()
            }
        }
        calls.forEach { (pending, _) ->
            barrier.await()
            pending.failAll()
        }
        writer.join()
        val unsent = runBlocking { calls.map { (_, call) -> call.reply.await().getError() is CallError.NotSent } }
        assertEquals(written.map { !it }, unsent)
    }

    private class CallOutcome(val id: Int, val result: Result<PeerReply, CallError>) {
        val kind: String get() = result.getError()?.let { it::class.simpleName } ?: "Reply"
    }

    /** Starts a call after a random time; the result is null if the caller has given up before it ends. */
    private fun CoroutineScope.callAtRandom(caller: PeerTransport, random: Random): Deferred<CallOutcome?> {
        val startMillis = random.nextLong(ROUND_MILLIS)
        val large = random.nextInt(LARGE_CALL_INTERVAL) == 0
        val characters = if (large) LARGE_CHARACTERS else random.nextInt(SMALL_CHARACTERS)
        val timeoutMillis = random.nextLong(1, MAX_TIMEOUT_MILLIS)
        val patienceMillis = if (random.nextInt(4) == 0) random.nextLong(1, timeoutMillis + 1) else MAX_TIMEOUT_MILLIS
        return async {
            delay(startMillis)
            withTimeoutOrNull(patienceMillis) { call(caller, characters, timeoutMillis) }
        }
    }

    private suspend fun call(caller: PeerTransport, characters: Int, timeoutMillis: Long): CallOutcome {
        val id = lastId.incrementAndGet()
        return CallOutcome(id, caller.call(second.host, request(id, characters), timeoutMillis))
    }

    private suspend fun disturb(random: Random) {
        delay(random.nextLong(ROUND_MILLIS / 2))
        relay.stall()
        // Every third stall is longer than a link without frames is kept open.
        val long = random.nextInt(3) == 0
        delay(if (long) Link.RECEIVE_TIMEOUT_MILLIS + ROUND_MILLIS / 2 else random.nextLong(ROUND_MILLIS))
        if (random.nextInt(3) == 0) relay.cut()
        relay.resume()
    }

    /** Waits until a call on the present link is answered, so that the frames written to it before have arrived. */
    private suspend fun awaitDelivery(caller: PeerTransport) = withTimeout(WAIT_MILLIS) {
        repeat(2) {
            while (!call(caller, characters = 1, timeoutMillis = WAIT_MILLIS).result.isOk) delay(POLL_MILLIS)
        }
    }

    private fun assertUnsentNeverArrived(outcomes: List<CallOutcome>) {
        val unsent = outcomes.filter { it.result.getError() is CallError.NotSent }.map { it.id }
        assertEquals(emptySet(), unsent.intersect(handler.received), "calls that were not sent have arrived")
    }

    private fun request(id: Int, characters: Int): PeerRequest {
        val random = Random(id)
        val text = CharArray(characters) { 'a' + random.nextInt(LETTERS) }.concatToString()
        return PeerRequest.Fleet(FleetCall.WorkerLeft("$id $text"))
    }

    private suspend fun startLink(): PeerTransport {
        val caller = startTransport(first, second.copy(port = relay.port), RecordingHandler())
        startTransport(second, first, handler)
        withTimeout(WAIT_MILLIS) { while (second.host !in caller.reachable()) delay(POLL_MILLIS) }
        return caller
    }

    private suspend fun startTransport(self: Peer, other: Peer, handler: PeerHandler): PeerTransport {
        val key = SharedKey("a".repeat(32).encodeToByteArray())
        return PeerTransport(self, listOf(other), key, handler, registry) { throw it }
            .also { transports += it }
            .also { it.start() }
    }

    private fun peer(name: String) =
        Peer(HostName(name), RegionName("r"), DomainName("d"), "127.0.0.1", ServerSocket(0).use { it.localPort })

    private class RecordingHandler : PeerHandler {
        val received: MutableSet<Int> = ConcurrentHashMap.newKeySet()

        override fun onConsensus(message: PeerMessage.Consensus) = Unit

        override fun onGossip(gossip: PeerMessage.Gossip) = Unit

        override suspend fun onCall(from: HostName, request: PeerRequest, timeoutMillis: Long): PeerReply {
            val left = (request as PeerRequest.Fleet).call as FleetCall.WorkerLeft
            received += left.workerId.substringBefore(' ').toInt()
            return PeerReply.Ok
        }
    }

    private companion object {
        const val ROUNDS = 6
        const val CALLS = 150
        const val ROUND_MILLIS = 600L
        const val MAX_TIMEOUT_MILLIS = 500L
        const val STALLED_CALLS = 16
        const val STALLED_CALL_MILLIS = 1_000L
        const val LARGE_CALL_INTERVAL = 8
        const val SMALL_CHARACTERS = 2_000
        const val LARGE_CHARACTERS = 1_500_000
        const val LETTERS = 26
        const val RACES = 20_000
        const val WAIT_MILLIS = 10_000L
        const val POLL_MILLIS = 10L
    }
}
