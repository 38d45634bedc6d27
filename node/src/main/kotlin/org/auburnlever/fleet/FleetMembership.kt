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
import org.auburnlever.workload.WorkloadReply
import org.auburnlever.workload.WorkloadState

private val logger = KotlinLogging.logger {}

/** Keeps this host a member of the workload group, and the group's voters complete while this host leads it. */
internal class FleetMembership(
    private val runner: GroupRunner<WorkloadState, WorkloadReply>,
    private val peers: FleetPeers,
    private val transport: PeerTransport,
    private val settings: FleetSettings,
    private val clock: HostClock,
) {
    private var leadsInTerm = -1L
    private var leadsSinceMillis = 0L

    /** Does what is due until the coroutine ends. */
    suspend fun keepUp() {
        while (currentCoroutineContext().isActive) {
            delay(UPKEEP_MILLIS)
            val view = runner.view
            if (view.role == null) {
                askForAdmission(view.replica)
            } else {
                peers.replace(view.membership.roles.keys.map { it.host })
            }
            if (view.isLeader) changeVoters(view)
        }
    }

    /** A replica that is no member is new or has lost its disk; the leader admits it as a learner. */
    private suspend fun askForAdmission(replica: ReplicaId) {
        peers.refresh()
        val hosts = (peers.members() + settings.founders).distinct().filter { it != settings.self }
        logger.info { "asking $hosts for admission of $replica" }
        hosts.forEach { host ->
            transport.call(host, PeerRequest.Admit(WORKLOAD_GROUP, replica), ADMISSION_LIMIT_MILLIS)
                .onSuccess { if (it is PeerReply.Ok) logger.info { "$replica was admitted by $host" } }
        }
    }

    private suspend fun changeVoters(view: GroupView<WorkloadState>) {
        val wanted = settings.lostHosts * 2 + 1
        val nowMillis = clock.nowMillis()
        if (view.term != leadsInTerm) {
            leadsInTerm = view.term
            leadsSinceMillis = nowMillis
        }
        val heard = heardMillis(view.peers.mapValues { it.value.heardMillis }, view.membership, leadsSinceMillis)
        val change = voterChange(view.membership, view.replica, heard, wanted, nowMillis) ?: return
        val result = runner.change(change)
        logger.info { "membership change $change: $result" }
    }

    private companion object {
        const val UPKEEP_MILLIS = 500L
        const val ADMISSION_LIMIT_MILLIS = 1_000L
    }
}
