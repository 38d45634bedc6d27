package org.auburnlever.host

import kotlinx.coroutines.CompletableDeferred
import org.auburnlever.consensus.LogEntry
import org.auburnlever.consensus.RejectionReason
import org.auburnlever.consensus.ReplicaEffect
import org.auburnlever.consensus.ReplicaId
import org.auburnlever.consensus.Snapshot

/** Submissions to one replica that wait for their entry or read index. Used by the decision thread only. */
internal class PendingSubmissions<S, R> {
    /** Completes one submission, with the reply of its command (null for a membership change) or with a refusal. */
    private class PendingSubmission<R>(val complete: (R?) -> Unit, val refuse: (Submission<Nothing>) -> Unit)

    private class PendingRead<S>(val index: Long, val result: CompletableDeferred<Submission<S>>)

    private var lastId = 0L
    private val proposals = HashMap<Long, PendingSubmission<R>>()
    private val reads = HashMap<Long, CompletableDeferred<Submission<S>>>()
    private val entries = PendingEntries<PendingSubmission<R>>()
    private var confirmedReads = emptyList<PendingRead<S>>()

    fun addProposal(result: CompletableDeferred<Submission<R>>): Long = add(
        PendingSubmission(
            complete = { reply -> result.complete(Submission.Applied(checkNotNull(reply))) },
            refuse = { result.complete(it) },
        ),
    )

    fun addChange(result: CompletableDeferred<Submission<Unit>>): Long = add(
        PendingSubmission(complete = { result.complete(Submission.Applied(Unit)) }, refuse = { result.complete(it) }),
    )

    fun addRead(result: CompletableDeferred<Submission<S>>): Long {
        lastId += 1
        reads[lastId] = result
        return lastId
    }

    fun onAccepted(effect: ReplicaEffect.Accepted) {
        val submission = proposals.remove(effect.proposalId) ?: return
        entries.add(effect.index, effect.term, submission)
    }

    fun onRejected(effect: ReplicaEffect.Rejected) {
        val refusal = refusal(effect.reason, effect.leader)
        proposals.remove(effect.proposalId)?.refuse?.invoke(refusal)
        reads.remove(effect.proposalId)?.complete(refusal)
    }

    /** Completes the submission for [entry], and refuses those whose entries can't be committed any more. */
    fun onApplied(entry: LogEntry, reply: R?) {
        val decided = entries.removeDecided(entry)
        decided.applied.forEach { it.complete(reply) }
        decided.replaced.forEach { it.refuse(NOT_COMMITTED) }
    }

    /** Completes the submissions up to the end of [snapshot] as undecided, as it replaced their entries. */
    fun onRestored(snapshot: Snapshot) {
        entries.removeCoveredBy(snapshot)
            .forEach { it.refuse(Submission.Undecided("a snapshot replaced the log entry")) }
        entries.removeAfter(snapshot.lastIndex, snapshot.lastTerm).forEach { it.refuse(NOT_COMMITTED) }
    }

    fun onReadConfirmed(effect: ReplicaEffect.ReadConfirmed) {
        val result = reads.remove(effect.readId) ?: return
        confirmedReads = confirmedReads + PendingRead(effect.index, result)
    }

    /** Completes the confirmed reads whose index is applied. */
    fun serveReads(state: S, appliedIndex: Long) {
        val (ready, waiting) = confirmedReads.partition { it.index <= appliedIndex }
        confirmedReads = waiting
        ready.forEach { it.result.complete(Submission.Applied(state)) }
    }

    private fun add(submission: PendingSubmission<R>): Long {
        lastId += 1
        proposals[lastId] = submission
        return lastId
    }
}

private val NOT_COMMITTED = Submission.NotLeader(leader = null)

private fun refusal(reason: RejectionReason, leader: ReplicaId?): Submission<Nothing> = when (reason) {
    RejectionReason.NOT_LEADER, RejectionReason.LEADERSHIP_LOST -> Submission.NotLeader(leader?.host)
    RejectionReason.TOO_LARGE -> Submission.Refused("the command is too large for a log entry")
    RejectionReason.CHANGE_PENDING -> Submission.Refused("another membership change is pending")
    RejectionReason.NOT_CAUGHT_UP -> Submission.Refused("the replica has not caught up with the log yet")
    RejectionReason.UNKNOWN_REPLICA -> Submission.Refused("the replica is not a member")
    RejectionReason.OLD_INCARNATION_ACTIVE -> Submission.Refused("the replica's old incarnation still answers")
    RejectionReason.WOULD_LOSE_QUORUM -> Submission.Refused("the membership change would lose the quorum")
}
