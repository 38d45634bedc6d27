package org.auburnlever.fleet

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import org.auburnlever.consensus.ReplicaId
import org.auburnlever.consensus.ReplicaRole
import org.auburnlever.host.GroupRunner
import org.auburnlever.host.GroupView
import org.auburnlever.workload.DecisionLogEntry
import org.auburnlever.workload.state.WorkloadReply
import org.auburnlever.workload.state.WorkloadState

/**
 * Logs and measures the workload group as this control host sees it: who leads, who votes, how far each replica is
 * behind, and how much waits for the decision thread.
 */
internal class GroupReport(
    private val runner: GroupRunner<WorkloadState, WorkloadReply>,
    private val decisions: DecisionLog,
    registry: MeterRegistry,
) {
    private var reportedMillis = 0L

    init {
        gauge("queued.inputs", registry) { runner.queuedInputs }
        gauge("queued.bytes", registry) { runner.queuedBytes }
        gauge("term", registry) { runner.view.term }
        gauge("leads", registry) { if (runner.view.isLeader) 1 else 0 }
        gauge("votes", registry) { if (runner.view.role == ReplicaRole.VOTER) 1 else 0 }
        gauge("unapplied.entries", registry) { runner.view.lastIndex - runner.view.appliedIndex }
    }

    /** Writes a log line if the last one is [INTERVAL_MILLIS] old. */
    fun reportIfDue(nowMillis: Long) {
        if (nowMillis - reportedMillis < INTERVAL_MILLIS) return
        reportedMillis = nowMillis
        val view = runner.view
        val details = mapOf(
            "role" to view.raftRole,
            "leader" to view.leader?.host?.value,
            "configuration" to view.state.catalog?.version,
            "lastIndex" to view.lastIndex,
            "appliedIndex" to view.appliedIndex,
            "queuedInputs" to runner.queuedInputs,
            "queuedBytes" to runner.queuedBytes,
            "members" to view.membership.roles.keys.joinToString("; ") { view.describe(it, nowMillis) },
        )
        decisions.write(DecisionLogEntry("group", "${view.replica}", details), view.term)
    }

    private fun gauge(name: String, registry: MeterRegistry, value: () -> Number) {
        Gauge.builder("auburn.group.$name", value).register(registry)
    }

    private companion object {
        const val INTERVAL_MILLIS = 4_000L
    }
}

/** Returns the role of [replica], and on the leader also how far it is behind and when it last answered. */
private fun GroupView<*>.describe(replica: ReplicaId, nowMillis: Long): String {
    val role = membership.roles.getValue(replica)
    val progress = peers[replica] ?: return "$replica $role"
    val silent = progress.lastAnswerMillis?.let { "answered ${nowMillis - it} ms ago" } ?: "has not answered"
    return "$replica $role, ${lastIndex - progress.matchIndex} entries behind, $silent"
}
