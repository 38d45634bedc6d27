package org.auburnlever.host

import com.github.michaelbull.result.Result
import org.auburnlever.ledger.LedgerCommand
import org.auburnlever.ledger.LedgerReply
import org.auburnlever.peer.GroupName
import org.auburnlever.peer.LedgerQuery
import org.auburnlever.peer.PeerReply
import org.auburnlever.peer.PeerRequest
import org.auburnlever.settings.LEDGER_GROUP_PREFIX
import org.auburnlever.wire.HeartbeatReply
import org.auburnlever.wire.WorkerHeartbeat
import org.auburnlever.world.DomainName

/** Reaches ledgers through their replicas on this host or over peer links. */
internal class ClusterLedgerClient(
    private val calls: LeaderCalls,
    private val local: (GroupName) -> LedgerGroup?,
) : LedgerClient {
    override suspend fun submit(
        domain: DomainName,
        command: LedgerCommand,
        timeoutMillis: Long,
    ): Result<LedgerReply, SubmitError> {
        val group = ledgerGroup(domain)
        val ask = local(group)?.let { ledger -> suspend { ledger.submit(command) } }
        return calls.ask(
            LeaderQuestion(group, ask, PeerRequest.SubmitLedger(group, command)) { reply ->
                decode(reply) { (it as? PeerReply.Ledger)?.reply }
            },
            timeoutMillis,
        )
    }

    override suspend fun read(
        domain: DomainName,
        query: LedgerQuery,
        timeoutMillis: Long,
    ): Result<String, SubmitError> {
        val group = ledgerGroup(domain)
        val ask = local(group)?.let { ledger -> suspend { ledger.read(query) } }
        return calls.ask(
            LeaderQuestion(group, ask, PeerRequest.ReadLedger(group, query)) { reply ->
                decode(reply) { (it as? PeerReply.Document)?.json }
            },
            timeoutMillis,
        )
    }

    /** Takes a worker's heartbeat to the leader of its ledger. */
    suspend fun heartbeat(heartbeat: WorkerHeartbeat, timeoutMillis: Long): Result<HeartbeatReply, SubmitError> {
        val group = ledgerGroup(heartbeat.failureDomain)
        val ask = local(group)?.let { ledger -> suspend { ledger.heartbeat(heartbeat).toSubmission() } }
        return calls.ask(
            LeaderQuestion(group, ask, PeerRequest.Heartbeat(heartbeat)) { reply ->
                decode(reply) { (it as? PeerReply.Orders)?.reply }
            },
            timeoutMillis,
        )
    }

    private fun HeartbeatReply?.toSubmission(): Submission<HeartbeatReply> =
        if (this == null) Submission.NotLeader(null) else Submission.Applied(this)
}

/** The group that replicates the ledger of [domain]. */
internal fun ledgerGroup(domain: DomainName) = GroupName("$LEDGER_GROUP_PREFIX$domain")

/** Turns a reply into what it says about the question; [answer] finds the expected answer in it. */
internal fun <T> decode(reply: PeerReply, answer: (PeerReply) -> T?): Submission<T> = when (reply) {
    is PeerReply.NotLeader -> Submission.NotLeader(reply.leader)
    is PeerReply.Undecided -> Submission.Undecided(reply.message)
    is PeerReply.NotDone -> Submission.Refused(reply.message)
    else -> answer(reply)?.let { Submission.Applied(it) } ?: Submission.Undecided("unexpected reply")
}
