package org.auburnlever.acceptance.capacity

import org.auburnlever.acceptance.Deployment
import org.auburnlever.acceptance.SessionContext
import org.auburnlever.acceptance.StandInControl

/** Runs one worker and one endpoint in the last failure domain behind relays that count their control traffic. */
internal class RelayedBackEnds(private val context: SessionContext) {
    private val deployment: Deployment = context.deployment
    private val host = deployment.plan.hosts.last()
    private val relays = listOf("worker", "endpoint").associateWith { CountingRelay(host.httpPort) }

    /** Starts both and returns the control of the worker. */
    fun start(): StandInControl {
        start("endpoint", "endpoints", listOf("--service", CapacityBundles.SERVICE))
        return start("worker", "workers", emptyList())
    }

    /** Returns the current counters of both relays. */
    fun reading(): RelayReading =
        RelayReading(System.nanoTime(), relays.mapValues { it.value.sentBytes to it.value.receivedBytes })

    private fun start(name: String, kind: String, options: List<String>): StandInControl {
        val common = listOf("--prefix", "relayed-$name", "--token", context.platformToken.token)
        val entry = listOf(relays.getValue(name).address)
        return deployment.startStandIn("relayed-$name", kind, host.failureDomain, common + options, entry)
    }
}

/** Bytes that each back end sent and received until [atNanos]. */
internal data class RelayReading(val atNanos: Long, val bytes: Map<String, Pair<Long, Long>>) {
    /** Returns the bytes per second since [earlier]. */
    fun since(earlier: RelayReading): List<BackEndUse> {
        val seconds = (atNanos - earlier.atNanos) / NANOS_PER_SECOND
        return bytes.map { (name, now) ->
            val before = earlier.bytes.getValue(name)
            BackEndUse(name, (now.first - before.first) / seconds, (now.second - before.second) / seconds)
        }
    }

    private companion object {
        const val NANOS_PER_SECOND = 1e9
    }
}
