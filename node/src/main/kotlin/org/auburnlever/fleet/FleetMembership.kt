package org.auburnlever.fleet

import com.github.michaelbull.result.onSuccess
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import org.auburnlever.consensus.ReplicaId
import org.auburnlever.host.GroupRunner
import org.auburnlever.host.GroupView
import org.auburnlever.host.HostClock
import org.auburnlever.peer.PeerReply
import org.auburnlever.peer.PeerRequest
import org.auburnlever.transport.PeerTransport
import org.auburnlever.workload.state.WorkloadReply
import org.auburnlever.workload.state.WorkloadState

private val logger = KotlinLogging.logger {}

/** Keeps this host a member of the workload group, and the group at its number of voters while this host leads. */
internal class FleetMembership(
    private val runner: GroupRunner<WorkloadState, WorkloadReply>,
    private val peers: FleetPeers,
    private val transport: PeerTransport,
    private val settings: FleetSettings,
    private val clock: HostClock,
    private val report: GroupReport,
) {
    private var leadsInTerm = -1L
    private var leadsSinceMillis = 0L

    /** Checks the membership periodically and does what is due, until the coroutine is cancelled. */
    suspend fun maintain() {
        while (currentCoroutineContext().isActive) {
            delay(MAINTENANCE_INTERVAL_MILLIS)
            report.reportIfDue(clock.nowMillis())
            val view = runner.view
            if (view.role == null) {
                requestAdmission(view.replica)
            } else {
                peers.replace(view.membership.roles.keys.map { it.host })
            }
            if (view.isLeader) changeVoters(view)
        }
    }

    /** Asks the known hosts to admit [replica], which is new or lost its disk. The leader admits it as a learner. */
    private suspend fun requestAdmission(replica: ReplicaId) {
        peers.refresh()
        val hosts = (peers.members() + settings.seedHosts).distinct().filter { it != settings.self }
        logger.info { "replica $replica is not a member; requesting admission from $hosts" }
        hosts.forEach { host ->
            transport.call(host, PeerRequest.Admit(WORKLOAD_GROUP, replica), ADMISSION_TIMEOUT_MILLIS)
                .onSuccess { if (it is PeerReply.Ok) logger.info { "host $host admitted replica $replica" } }
        }
    }

    private suspend fun changeVoters(view: GroupView<WorkloadState>) {
        val wanted = settings.toleratedHostLosses * 2 + 1
        val nowMillis = clock.nowMillis()
        if (view.term != leadsInTerm) {
            leadsInTerm = view.term
            leadsSinceMillis = nowMillis
        }
        val lastAnswers =
            lastAnswerMillis(view.peers.mapValues { it.value.lastAnswerMillis }, view.membership, leadsSinceMillis)
        val change = voterChange(view.membership, view.replica, lastAnswers, wanted, nowMillis) ?: return
        val result = runner.change(change)
        logger.info { "membership change $change: $result" }
    }

    private companion object {
        const val MAINTENANCE_INTERVAL_MILLIS = 500L
        const val ADMISSION_TIMEOUT_MILLIS = 1_000L
    }
}
