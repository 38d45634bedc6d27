package org.auburnlever.acceptance.capacity

import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.auburnlever.acceptance.PlannedHost
import org.auburnlever.acceptance.SessionContext
import org.auburnlever.acceptance.await
import org.auburnlever.codec.Codec
import org.auburnlever.wire.Paths
import java.util.concurrent.TimeUnit

/** Samples the resource usage of all hosts and of the [relayed] back ends at both ends of a time window. */
internal class UsageSampler(private val context: SessionContext, private val relayed: RelayedBackEnds) {
    private val deployment = context.deployment
    private val plan = deployment.plan

    /** Waits a fixed time for the load to settle, then measures over one window. */
    fun measure(quantity: String, size: Int): Point {
        TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS)
        val before = plan.hosts.map { read(it) }
        val relayedBefore = relayed.reading()
        TimeUnit.MILLISECONDS.sleep(WINDOW_MILLIS)
        val backEnds = relayed.reading().since(relayedBefore)
        val roles = roles()
        val uses = plan.hosts.zip(before) { host, earlier ->
            hostUse(host, roles[host.name].orEmpty(), earlier, read(host))
        }
        return Point(quantity, size, uses, backEnds)
    }

    private fun read(host: PlannedHost) = ProcessReading.of(pid(host.name)) to MetricsReading.of(host.address)

    private fun pid(name: String): Long = deployment.process(name).pid

    private fun hostUse(
        host: PlannedHost,
        roles: List<String>,
        before: Pair<ProcessReading, MetricsReading>,
        after: Pair<ProcessReading, MetricsReading>,
    ): HostUse {
        val seconds = after.first.secondsSince(before.first)
        val received = after.second.linkReceivedBytes - before.second.linkReceivedBytes
        return HostUse(
            host = host.name,
            roles = roles,
            residentMiB = after.first.residentKiB / KIB_PER_MIB,
            heapMiB = after.second.heapBytes / KIB_PER_MIB / KIB_PER_MIB,
            cpuPercent = after.first.cpuPercentSince(before.first),
            linkSentBytes = (after.second.linkSentBytes - before.second.linkSentBytes) / seconds,
            linkReceivedBytes = received / seconds,
            diskBytes = (after.first.diskBytes - before.first.diskBytes) / seconds,
        )
    }

    /** Returns the roles of each host in the groups, with the leaders that the first host reports. */
    private fun roles(): Map<String, List<String>> {
        val status = await("status of ${plan.hosts.first().name}", STATUS_LIMIT_MILLIS) {
            context.read(plan.hosts.first().name, Paths.STATUS)
        }
        val leaders = Codec.json.parseToJsonElement(status.body).jsonObject.getValue("groups").jsonArray.associate {
            val group = it.jsonObject
            group.getValue("group").jsonPrimitive.content to group["leader"]?.jsonPrimitive?.content
        }
        return plan.hosts.map { it.name }.associateWith { host ->
            plan.groups.mapNotNull { role(host, it.name, leaders) }
        }
    }

    private fun role(host: String, group: String, leaders: Map<String, String?>): String? {
        val planned = plan.groups.first { it.name == group }
        return when {
            leaders[group] == host -> "leads $group"
            host in planned.voters -> "follows $group"
            host in planned.witnesses -> "witness of $group"
            else -> null
        }
    }

    private companion object {
        const val SETTLE_MILLIS = 3_000L
        const val WINDOW_MILLIS = 14_000L
        const val STATUS_LIMIT_MILLIS = 10_000L
        const val KIB_PER_MIB = 1_024.0
    }
}
