package org.auburnlever.fleet

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.getAndUpdate
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.withTimeoutOrNull
import org.auburnlever.host.HostClock
import org.auburnlever.model.HostName
import org.auburnlever.peer.PeerReply
import org.auburnlever.peer.PeerRequest
import org.auburnlever.transport.CallError
import org.auburnlever.transport.PeerClient
import org.auburnlever.transport.PeerDirectory
import org.auburnlever.workload.leaderless.LeaderEvidence
import org.auburnlever.workload.leaderless.LeaderProspect
import org.auburnlever.workload.leaderless.LeaderSign
import java.util.concurrent.TimeUnit

private val logger = KotlinLogging.logger {}

/**
 * Finds the leader of the workload group for all calls of an entry host.
 *
 * While no leader is known, one of the waiting calls at a time asks the control hosts in turn who leads, and all others
 * wait for what it finds. So the number of waiting calls does not increase the load on the control hosts.
 */
internal class LeaderWatch(
    private val directory: PeerDirectory,
    private val peers: PeerClient,
    private val members: () -> List<HostName>,
    private val clock: HostClock,
    private val registry: MeterRegistry,
) {
    private val evidence = MutableStateFlow(LeaderEvidence())
    private val probing = Mutex()

    /** Whether a leader can be expected to answer. */
    val prospect: LeaderProspect
        get() = evidence.value.prospect(members(), directory.reachable(), clock.nowMillis())

    /** Returns the believed leader if it is reachable, and otherwise records that it is not. */
    fun leader(): HostName? {
        val believed = evidence.value.leader
        val lost = believed != null && believed !in directory.reachable()
        if (believed != null && lost) observe(believed, LeaderSign.Unreachable)
        return believed.takeUnless { lost }
    }

    /** Records [sign] of [host]. */
    fun observe(host: HostName, sign: LeaderSign) {
        val nowMillis = clock.nowMillis()
        val before = evidence.getAndUpdate { it.observed(host, sign, nowMillis) }
        val after = evidence.value
        if (before.leader == after.leader) return
        val leaderlessMillis = before.leaderlessSinceMillis?.let { nowMillis - it }
        if (leaderlessMillis != null && after.leader != null) {
            registry.timer("auburn.leaderless").record(leaderlessMillis, TimeUnit.MILLISECONDS)
        }
        logger.atInfo {
            message = if (after.leader == null) "leader_unknown" else "leader_found"
            payload = mapOf(
                "leader" to (after.leader ?: before.leader)?.value,
                "term" to after.term,
                "host" to host.value,
                "sign" to "$sign",
                "leaderlessMillis" to leaderlessMillis,
            )
        }
    }

    /** Waits at most [timeoutMillis] for a leader and asks the control hosts meanwhile, unless another call does so. */
    suspend fun awaitLeader(timeoutMillis: Long) {
        withTimeoutOrNull(timeoutMillis) {
            if (probing.tryLock()) {
                try {
                    while (leader() == null) {
                        probe(directory.reachable().filter { it in members() })
                        if (leader() == null) delay(PROBE_INTERVAL_MILLIS)
                    }
                } finally {
                    probing.unlock()
                }
            } else {
                evidence.first { it.leader != null }
            }
        }
    }

    /**
     * Sends [request] to the leader [host].
     *
     * If the reply takes longer than usual, other hosts are asked who leads, and the attempt ends without a reply once
     * one of them names a later leader: a frozen leader would otherwise hold the call for the whole timeout.
     */
    suspend fun call(host: HostName, request: PeerRequest, timeoutMillis: Long): Result<PeerReply, CallError> {
        val sentMillis = clock.nowMillis()
        val result = coroutineScope {
            val reply = async { peers.call(host, request, timeoutMillis) }
            val replaced = launch {
                delay(SLOW_REPLY_MILLIS)
                while (evidence.value.leader.let { it == null || it == host }) {
                    probeOthers(host)
                    delay(SLOW_PROBE_INTERVAL_MILLIS)
                }
            }
            select {
                reply.onAwait { it }
                replaced.onJoin { Err(CallError.NoReply("$host was replaced as leader before it replied")) }
            }.also {
                reply.cancel()
                replaced.cancel()
            }
        }
        result.onFailure {
            if (host !in directory.reachable()) {
                observe(host, LeaderSign.Unreachable)
            } else if (clock.nowMillis() - sentMillis >= SILENT_AFTER_MILLIS) {
                observe(host, LeaderSign.Silent)
            }
        }
        return result
    }

    private suspend fun probeOthers(leader: HostName) {
        if (!probing.tryLock()) return
        try {
            probe(directory.reachable().filter { it != leader && it in members() })
        } finally {
            probing.unlock()
        }
    }

    /** Asks the next of [hosts] which leader it knows. */
    private suspend fun probe(hosts: Collection<HostName>) {
        val host = evidence.value.nextHost(hosts) ?: return
        registry.counter("auburn.leaderless.probes").increment()
        peers.call(host, PeerRequest.FleetMembers(), PROBE_TIMEOUT_MILLIS)
            .onSuccess { reply -> observe(host, signOf(host, reply)) }
            .onFailure { observe(host, LeaderSign.Silent) }
    }

    private fun signOf(host: HostName, reply: PeerReply): LeaderSign {
        val members = reply as? PeerReply.FleetMembers ?: return LeaderSign.NotLeading(leader = null, term = 0)
        val leads = members.leader == host && members.term >= evidence.value.term
        return if (leads) LeaderSign.Answered else LeaderSign.NotLeading(members.leader, members.term)
    }

    private companion object {
        /** A follower knows a new leader one link latency after the election. */
        const val PROBE_INTERVAL_MILLIS = 50L

        /** A round trip between regions takes 40 ms; the rest covers a busy host. */
        const val PROBE_TIMEOUT_MILLIS = 300L

        /** A commit between regions takes about 50 ms and queues up at a busy leader. */
        const val SLOW_REPLY_MILLIS = 400L
        const val SLOW_PROBE_INTERVAL_MILLIS = 150L

        /** A call that ends earlier ended with its caller's deadline, which is no evidence against the leader. */
        const val SILENT_AFTER_MILLIS = 800L
    }
}
