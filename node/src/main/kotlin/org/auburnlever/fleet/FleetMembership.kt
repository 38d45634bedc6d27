package org.auburnlever.fleet

import com.github.michaelbull.result.getOr
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.auburnlever.consensus.ReplicaId
import org.auburnlever.consensus.ReplicaRole
import org.auburnlever.consensus.ReplicationMode
import org.auburnlever.consensus.voters
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
    private val policy = VoterPolicy.of(settings.toleratedHostLosses, settings.catchUpMillis)
    private val departures = Departures()
    private var leadsInTerm = -1L
    private var leadsSinceMillis = 0L
    private var leaderKnownMillis = clock.nowMillis()

    /** Checks the membership periodically and does what is due, until the coroutine is cancelled. */
    suspend fun maintain() = coroutineScope {
        launch { maintainMembership() }
        launch { maintainVoters() }
    }

    /**
     * Announces that this host shuts down, and returns once another host votes in its place.
     *
     * Does not return while no other host can take the vote; the caller limits the time.
     */
    suspend fun handOverVote() {
        val replica = runner.view.replica
        while (runner.view.role.let { it != null && it != ReplicaRole.LEARNER }) {
            val replies = callAll(PeerRequest.Depart(WORKLOAD_GROUP, replica), DEPARTURE_TIMEOUT_MILLIS)
            if (PeerReply.Ok in replies) return
            delay(ANNOUNCEMENT_INTERVAL_MILLIS)
        }
    }

    /** Records that [replica] shuts down; the reply is `Ok` once it needs to vote no more. */
    fun onDeparture(replica: ReplicaId): PeerReply {
        departures.announce(replica, clock.nowMillis())
        val view = runner.view
        // Until the removal is committed, a later leader may still need the vote.
        val votes = replica in view.membership.voters || replica in view.committedMembership.voters
        return when {
            !view.isLeader -> PeerReply.NotLeader(view.leader?.host, view.term)
            votes -> PeerReply.NotDone("the vote of $replica is not handed over yet")
            else -> PeerReply.Ok
        }
    }

    /** Returns the replicas that have announced lately that they shut down. */
    fun departingReplicas(): Set<ReplicaId> = departures.recent(clock.nowMillis()).keys

    private suspend fun maintainMembership() {
        while (currentCoroutineContext().isActive) {
            delay(if (runner.view.role == null) ADMISSION_INTERVAL_MILLIS else MAINTENANCE_INTERVAL_MILLIS)
            val nowMillis = clock.nowMillis()
            report.reportIfDue(nowMillis)
            val view = runner.view
            if (view.leader != null) leaderKnownMillis = nowMillis
            // Nobody tells a replica that was removed while its host was down or cut off: it only hears from no leader.
            val mayBeRemoved = nowMillis - leaderKnownMillis >= LEADERLESS_MILLIS
            if (view.role != null) peers.replace(view.membership.roles.keys.map { it.host })
            if (view.role == null || mayBeRemoved) requestAdmission(view.replica)
        }
    }

    private suspend fun maintainVoters() {
        while (currentCoroutineContext().isActive) {
            delay(VOTER_CHECK_INTERVAL_MILLIS)
            val view = runner.view
            if (view.isLeader) changeVoters(view)
        }
    }

    /**
     * Asks the known hosts to admit [replica], which is new, lost its disk or may have been removed. The leader admits
     * it as a learner.
     */
    private suspend fun requestAdmission(replica: ReplicaId) {
        peers.refresh()
        val replies = callAll(PeerRequest.Admit(WORKLOAD_GROUP, replica), ADMISSION_TIMEOUT_MILLIS)
        logger.info { "replica $replica requested admission; it is a member: ${PeerReply.Ok in replies}" }
    }

    /** Sends [request] to all known hosts at the same time, as some may be gone, and returns the replies. */
    private suspend fun callAll(request: PeerRequest, timeoutMillis: Long): List<PeerReply> = coroutineScope {
        val hosts = peers.all.filter { it != settings.self }
        hosts.map { host -> async { transport.call(host, request, timeoutMillis).getOr(null) } }
            .awaitAll().filterNotNull()
    }

    private suspend fun changeVoters(view: GroupView<WorkloadState>) {
        val nowMillis = clock.nowMillis()
        if (view.term != leadsInTerm) {
            leadsInTerm = view.term
            leadsSinceMillis = nowMillis
        }
        val health = ReplicaHealth(
            answeredMillis = view.peers.mapNotNull { (peer, it) -> it.lastAnswerMillis?.let { peer to it } }.toMap(),
            replicating = view.peers.filterValues { it.mode == ReplicationMode.REPLICATE }.keys,
            departures = departures.recent(nowMillis),
            leadsSinceMillis = leadsSinceMillis,
        )
        val change = voterChange(view.membership, view.replica, health, policy, nowMillis) ?: return
        val result = runner.change(change)
        logger.info { "membership change $change: $result" }
    }

    private companion object {
        const val MAINTENANCE_INTERVAL_MILLIS = 500L

        /** A new host is of use only once it is admitted. */
        const val ADMISSION_INTERVAL_MILLIS = 200L

        /** Longer than an election. */
        const val LEADERLESS_MILLIS = 1_500L
        const val VOTER_CHECK_INTERVAL_MILLIS = 200L
        const val ADMISSION_TIMEOUT_MILLIS = 1_000L
        const val ANNOUNCEMENT_INTERVAL_MILLIS = 100L

        /** A host that does not answer must not hold up the announcements to the others. */
        const val DEPARTURE_TIMEOUT_MILLIS = 300L
    }
}
