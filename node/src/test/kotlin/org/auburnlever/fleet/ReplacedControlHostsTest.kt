package org.auburnlever.fleet

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
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
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Replaces control hosts, which run in this process and are linked over loopback. */
class ReplacedControlHostsTest {
    @TempDir
    lateinit var folder: Path

    private val peerPort = ServerSocket(0, 1, InetAddress.getByName(ip(0))).use { it.localPort }
    private val running = LinkedHashMap<Int, RunningHost>()

    private class RunningHost(val host: ControlHost, private val registry: SimpleMeterRegistry) {
        val votes: Boolean get() = gauge("auburn.group.votes") > 0
        val leads: Boolean get() = gauge("auburn.group.leads") > 0
        val answers: Boolean
            get() = runBlocking { host.client.ask(FleetCall.ReadCatalog, READ_TIMEOUT_MILLIS) }.isOk

        private fun gauge(name: String): Double = registry.find(name).gauge()?.value() ?: 0.0
    }

    @AfterTest
    fun stopHosts() = running.values.toList().map { Thread(it.host::shutdown).apply { start() } }.forEach { it.join() }

    private fun start(index: Int, firstStart: Boolean = false) {
        val settings = FleetSettings(
            self = HostName(ip(index)),
            peerPort = peerPort,
            seedHosts = (0 until FOUNDERS).map { HostName(ip(it)) },
            dataFolder = folder.resolve("$index"),
            firstStart = firstStart,
            toleratedHostLosses = 1,
            sharedKey = "key".encodeToByteArray(),
            limits = WorkloadLimits(),
        )
        val registry = SimpleMeterRegistry()
        val host = ControlHost(settings, { OrderAnswer.Unknown("no worker") }, registry)
        check(host.start().isOk)
        running[index] = RunningHost(host, registry)
    }

    private fun startFounders() {
        repeat(FOUNDERS) { start(it, firstStart = true) }
        awaitComplete()
    }

    private fun shutDown(index: Int) = running.remove(index)!!.host.shutdown()

    /** Waits until the group has a leader that answers each host, and as many voters as it started with. */
    private fun awaitComplete() {
        val untilMillis = System.currentTimeMillis() + COMPLETE_MILLIS
        while (!isComplete() && System.currentTimeMillis() < untilMillis) Thread.sleep(POLL_MILLIS)
        val hosts = running.mapValues { (_, it) -> "leads ${it.leads}, votes ${it.votes}, answers ${it.answers}" }
        assertTrue(isComplete(), "$hosts")
    }

    private fun isComplete() = running.values.count { it.leads } == 1 &&
        running.values.count { it.votes } == FOUNDERS && running.values.all { it.answers }

    /** Guards against a group that loses its majority in planned replacements, since each costs it a voter at first. */
    @Test
    fun `a group outlives the planned replacement of all its hosts one right after the other`() {
        startFounders()
        repeat(FOUNDERS) { index ->
            start(FOUNDERS + index)
            shutDown(index)
        }
        assertEquals(FOUNDERS, running.values.count { it.votes || it.leads }, "voters without a wait")
        awaitComplete()
    }

    /** Guards against the same when the host that is replaced is the leader each time. */
    @Test
    fun `a group outlives the planned replacement of its leader several times in a row`() {
        startFounders()
        repeat(FOUNDERS) { index ->
            start(FOUNDERS + index)
            shutDown(running.entries.first { it.value.leads }.key)
            awaitComplete()
        }
    }

    /** Guards against a host that takes itself for a voter for good, as it learns of its removal from nobody. */
    @Test
    fun `a host whose vote was taken over while it was down becomes a member again`() {
        startFounders()
        start(FOUNDERS)
        shutDown(1)
        awaitComplete()
        start(1)
        awaitComplete()
        shutDown(0)
        awaitComplete()
    }

    private companion object {
        const val FOUNDERS = 3
        const val READ_TIMEOUT_MILLIS = 1_000L

        /** A replacement host counts as healthy, and the next one may be replaced, after this time. */
        const val COMPLETE_MILLIS = 4_000L
        const val POLL_MILLIS = 50L

        fun ip(index: Int) = "127.0.7.${index + 1}"
    }
}
