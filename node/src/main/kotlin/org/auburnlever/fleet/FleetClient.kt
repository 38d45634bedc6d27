package org.auburnlever.fleet

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.auburnlever.host.HostClock
import org.auburnlever.host.LeaderAttempt
import org.auburnlever.host.LeaderClient
import org.auburnlever.host.LeaderRequest
import org.auburnlever.host.Submission
import org.auburnlever.host.SubmitError
import org.auburnlever.host.decode
import org.auburnlever.host.with
import org.auburnlever.model.HostName
import org.auburnlever.peer.GroupName
import org.auburnlever.peer.PeerReply
import org.auburnlever.peer.PeerRequest
import org.auburnlever.transport.PeerTransport
import org.auburnlever.workload.FleetAnswer
import org.auburnlever.workload.FleetCall
import org.auburnlever.workload.state.WorkloadState
import org.auburnlever.workload.state.settledAnswer

/** The replica of the workload group on a control host. */
internal interface LocalReplica {
    /** Handles [call] if the replica leads. */
    suspend fun handle(call: FleetCall): Submission<FleetAnswer>

    /** Returns the state that the replica has applied; null before it has started. */
    fun state(): WorkloadState?
}

/** Calls the leader of the workload group from any host; [local] is null on hosts without a replica. */
class FleetClient internal constructor(
    transport: PeerTransport,
    private val members: () -> List<HostName>,
    private val local: LocalReplica?,
    private val clock: HostClock,
    private val log: FleetCallLog,
    private val admission: LeaderlessAdmission? = null,
) {
    private val hint = LeaderHint()
    private val leaderClient = LeaderClient(transport, transport, { hint.current }, { members() }, clock)

    /**
     * Sends [call] to the leader and retries until it answers or [timeoutMillis] have passed; every call is idempotent.
     * A call that the replica of this host can answer for good is not sent. The error is [SubmitError.NotSubmitted]
     * only if the call can't have had an effect.
     */
    suspend fun ask(call: FleetCall, timeoutMillis: Long): Result<FleetAnswer, SubmitError> {
        val startMillis = clock.nowMillis()
        var attempts = emptyList<LeaderAttempt>()
        val result = local?.state()?.settledAnswer(call)?.let { Ok(it) }
            ?: admission?.ask(call, timeoutMillis) { attempts = attempts.with(it) }
            ?: askLeader(call, timeoutMillis) { attempts = attempts.with(it) }
        val nowMillis = clock.nowMillis()
        log.record(call, result, attempts, tookMillis = nowMillis - startMillis, nowMillis)
        return result
    }

    private suspend fun askLeader(
        call: FleetCall,
        timeoutMillis: Long,
        onAttempt: (LeaderAttempt) -> Unit,
    ): Result<FleetAnswer, SubmitError> {
        val askLocal = local?.let { replica -> suspend { replica.handle(call).also(::remember) } }
        val request = leaderRequest(call, askLocal, onAttempt, ::remember)
        return leaderClient.ask(request, timeoutMillis, NO_LEADER_TIMEOUT_MILLIS)
    }

    private fun remember(answer: Submission<FleetAnswer>) {
        if (answer is Submission.NotLeader) hint.update(answer.leader)
    }
}

/** Returns the request that sends [call] to the leader; [onAnswer] receives the answers of other hosts. */
internal fun leaderRequest(
    call: FleetCall,
    local: (suspend () -> Submission<FleetAnswer>)? = null,
    onAttempt: (LeaderAttempt) -> Unit = {},
    onAnswer: (Submission<FleetAnswer>) -> Unit = {},
) = LeaderRequest(WORKLOAD_GROUP, local, PeerRequest.Fleet(call), call::isRefusedBy, onAttempt) { reply ->
    decode(reply) { (it as? PeerReply.Fleet)?.answer }.also(onAnswer)
}

/** An election takes about 1 s. A caller that would wait longer gets an error instead, and can retry. */
private const val NO_LEADER_TIMEOUT_MILLIS = 1_000L

/** The group that replicates the jobs and the catalog of the desired state. */
internal val WORKLOAD_GROUP = GroupName("workload")
