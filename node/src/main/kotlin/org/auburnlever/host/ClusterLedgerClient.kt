package org.auburnlever.host

import com.github.michaelbull.result.Result
import org.auburnlever.ledger.LedgerCommand
import org.auburnlever.ledger.LedgerReply
import org.auburnlever.model.DomainName
import org.auburnlever.peer.GroupName
import org.auburnlever.peer.LedgerQuery
import org.auburnlever.peer.PeerReply
import org.auburnlever.peer.PeerRequest
import org.auburnlever.settings.LEDGER_GROUP_PREFIX
import org.auburnlever.wire.HeartbeatReply
import org.auburnlever.wire.Outcome
import org.auburnlever.wire.WorkerHeartbeat

/** Calls the leaders of ledgers, through the replicas on this host or over peer links. */
internal class ClusterLedgerClient(
    private val leaderClient: LeaderClient,
    private val replica: (GroupName) -> LedgerGroup?,
) : LedgerClient {
    override suspend fun submit(
        domain: DomainName,
        command: LedgerCommand,
        timeoutMillis: Long,
    ): Result<LedgerReply, SubmitError> {
        val group = ledgerGroup(domain)
        val remote = PeerRequest.SubmitLedger(group, command)
        val request = LeaderRequest(
            group,
            replica(group)?.let { ledger -> suspend { ledger.submit(command) } },
            remote,
            isRefusal = { command.isRefusedBy(it) },
        ) { reply -> decode(reply) { (it as? PeerReply.Ledger)?.reply } }
        return leaderClient.ask(request, timeoutMillis)
    }

    override suspend fun read(
        domain: DomainName,
        query: LedgerQuery,
        timeoutMillis: Long,
    ): Result<String, SubmitError> {
        val group = ledgerGroup(domain)
        val remote = PeerRequest.ReadLedger(group, query)
        return ask(group, timeoutMillis, remote, { it.read(query) }) { (it as? PeerReply.Document)?.json }
    }

    /** Sends [heartbeat] to the leader of the ledger of the worker's failure domain. */
    suspend fun heartbeat(heartbeat: WorkerHeartbeat, timeoutMillis: Long): Result<HeartbeatReply, SubmitError> {
        val group = ledgerGroup(heartbeat.failureDomain)
        val remote = PeerRequest.Heartbeat(heartbeat)
        return ask(group, timeoutMillis, remote, { it.heartbeat(heartbeat).toSubmission() }) {
            (it as? PeerReply.Orders)?.reply
        }
    }

    /**
     * Sends a call that can't be refused to the leader of [group]: calls [local] if the leader is this host, else sends
     * [remote] to it.
     */
    private suspend fun <T> ask(
        group: GroupName,
        timeoutMillis: Long,
        remote: PeerRequest,
        local: suspend (LedgerGroup) -> Submission<T>,
        answer: (PeerReply) -> T?,
    ): Result<T, SubmitError> {
        val askLocal = replica(group)?.let { ledger -> suspend { local(ledger) } }
        val request = LeaderRequest(group, askLocal, remote, isRefusal = { false }) { decode(it, answer) }
        return leaderClient.ask(request, timeoutMillis)
    }

    private fun HeartbeatReply?.toSubmission(): Submission<HeartbeatReply> =
        if (this == null) Submission.NotLeader(null) else Submission.Applied(this)
}

/**
 * Returns whether [reply] says that this command has no effect. That the job to cancel does not exist is what the
 * caller asked for.
 */
private fun LedgerCommand.isRefusedBy(reply: LedgerReply): Boolean =
    this !is LedgerCommand.CancelJob && reply is LedgerReply.Rejected && reply.refusal is Outcome.Refused

/** Returns the name of the group that replicates the ledger of [domain]. */
internal fun ledgerGroup(domain: DomainName) = GroupName("$LEDGER_GROUP_PREFIX$domain")

/** Converts a peer reply to a [Submission]; [answer] extracts the expected answer, or returns null for another type. */
internal fun <T> decode(reply: PeerReply, answer: (PeerReply) -> T?): Submission<T> = when (reply) {
    is PeerReply.NotLeader -> Submission.NotLeader(reply.leader, reply.term)
    is PeerReply.Undecided -> Submission.Undecided(reply.message, reply.conclusive)
    is PeerReply.NotDone -> Submission.Refused(reply.message)
    else -> answer(reply)?.let { Submission.Applied(it) } ?: Submission.Undecided("unexpected type of reply")
}
