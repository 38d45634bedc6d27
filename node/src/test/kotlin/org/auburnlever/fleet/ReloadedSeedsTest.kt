package org.auburnlever.fleet

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import org.auburnlever.model.HostName
import org.auburnlever.workload.FleetCall
import org.auburnlever.workload.WorkloadLimits
import org.auburnlever.workload.runs.OrderAnswer
import org.junit.jupiter.api.io.TempDir
import java.net.InetAddress
import java.net.ServerSocket
import java.nio.file.Path
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Reloads the seed hosts of hosts that run in this process and are linked over loopback. */
class ReloadedSeedsTest {
    @TempDir
    lateinit var folder: Path

    private val peerPort = ServerSocket(0, 1, InetAddress.getByName(FOUNDER.value)).use { it.localPort }
    private val shutdowns = mutableListOf<() -> Unit>()

    @AfterTest
    fun stopHosts() = shutdowns.forEach { it() }

    private fun settings(self: HostName, seedHosts: List<HostName>, firstStart: Boolean = false) = FleetSettings(
        self = self,
        peerPort = peerPort,
        seedHosts = seedHosts,
        dataFolder = folder.resolve(self.value),
        firstStart = firstStart,
        toleratedHostLosses = 0,
        sharedKey = "key".encodeToByteArray(),
        limits = WorkloadLimits(),
    )

    private fun startControl(settings: FleetSettings): ControlHost {
        val host = ControlHost(settings, { OrderAnswer.Unknown("no worker") }, SimpleMeterRegistry())
        check(host.start().isOk)
        shutdowns += host::shutdown
        return host
    }

    private fun startFounder() = startControl(settings(FOUNDER, listOf(FOUNDER), firstStart = true))

    private fun startEntry(seedHosts: List<HostName>): EntryHost {
        val host = EntryHost(settings(ENTRY, seedHosts), SimpleMeterRegistry())
        check(host.start().isOk)
        shutdowns += host::shutdown
        return host
    }

    private fun await(what: String, condition: () -> Boolean) {
        val untilMillis = System.currentTimeMillis() + AWAIT_MILLIS
        while (!condition() && System.currentTimeMillis() < untilMillis) Thread.sleep(POLL_MILLIS)
        assertTrue(condition(), what)
    }

    private fun answers(client: FleetClient) = runBlocking { client.ask(FleetCall.ReadCatalog, TIMEOUT_MILLIS) }.isOk

    /** Guards against an entry host that opens links to the hosts of reloaded settings and asks none of them. */
    @Test
    fun `an entry host whose first seeds are gone serves calls after several reloads`() {
        val founder = startFounder()
        await("the founder leads") { answers(founder.client) }
        val entry = startEntry(listOf(GONE_1, GONE_2))
        assertFalse(answers(entry.client))
        entry.dialHosts(listOf(GONE_2))
        assertFalse(entry.isConnected)
        entry.dialHosts(listOf(GONE_1, FOUNDER))
        await("ready") { entry.isConnected }
        assertTrue(answers(entry.client))
    }

    /** Guards against a call that goes on with the seeds of its beginning and is refused. */
    @Test
    fun `a call that waits for a leader is answered by a host of reloaded settings`() {
        val founder = startFounder()
        await("the founder leads") { answers(founder.client) }
        val entry = startEntry(listOf(GONE_1))
        val isAnswered = runBlocking {
            val call = async(start = CoroutineStart.UNDISPATCHED) {
                entry.client.ask(FleetCall.ReadCatalog, TIMEOUT_MILLIS).isOk
            }
            entry.dialHosts(listOf(FOUNDER))
            call.await()
        }
        assertTrue(isAnswered)
    }

    /** Guards against outdated settings that take reachable members from a host that has not asked any yet. */
    @Test
    fun `reloaded settings that name only hosts that are gone end no service`() {
        val entry = startEntry(listOf(FOUNDER))
        entry.dialHosts(listOf(GONE_1, GONE_2))
        startFounder()
        await("ready") { entry.isConnected }
        await("served") { answers(entry.client) }
        entry.dialHosts(listOf(GONE_2))
        assertTrue(answers(entry.client))
        assertTrue(entry.isConnected)
    }

    /** Guards against an entry host that is ready because of a link to a host that can answer no call. */
    @Test
    fun `an entry host is not ready while it reaches only a host that is no member`() {
        startControl(settings(SECOND, listOf(GONE_1)))
        val entry = startEntry(listOf(SECOND))
        val untilMillis = System.currentTimeMillis() + NOT_READY_MILLIS
        while (System.currentTimeMillis() < untilMillis) {
            assertFalse(entry.isConnected)
            Thread.sleep(POLL_MILLIS)
        }
        startFounder()
        entry.dialHosts(listOf(FOUNDER))
        await("ready") { entry.isConnected }
        assertTrue(answers(entry.client))
    }

    /** Guards against an entry host that stays ready after the last member that it can reach has ended. */
    @Test
    fun `an entry host that loses its members is not ready until it is told others`() {
        val founder = startFounder()
        val entry = startEntry(listOf(FOUNDER))
        await("ready") { entry.isConnected }
        founder.shutdown()
        await("not ready") { !entry.isConnected }
        startControl(settings(SECOND, listOf(SECOND), firstStart = true))
        entry.dialHosts(listOf(SECOND))
        await("ready again") { entry.isConnected }
        await("served again") { answers(entry.client) }
    }

    /** Guards against a new control host that asks only the first seeds for its admission. */
    @Test
    fun `a control host whose first seeds are gone is admitted after a reload`() {
        startFounder()
        val host = startControl(settings(SECOND, listOf(GONE_1)))
        assertFalse(answers(host.client))
        host.dialHosts(listOf(GONE_2, FOUNDER))
        await("admitted") { answers(host.client) && host.isConnected }
    }

    private companion object {
        val FOUNDER = HostName("127.0.8.1")
        val SECOND = HostName("127.0.8.2")
        val ENTRY = HostName("127.0.8.3")
        val GONE_1 = HostName("127.0.8.8")
        val GONE_2 = HostName("127.0.8.9")
        const val TIMEOUT_MILLIS = 1_000L
        const val AWAIT_MILLIS = 5_000L
        const val NOT_READY_MILLIS = 1_000L
        const val POLL_MILLIS = 20L
    }
}
