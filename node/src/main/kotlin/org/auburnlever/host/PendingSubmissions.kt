package org.auburnlever.host

import kotlinx.coroutines.CompletableDeferred
import org.auburnlever.consensus.LogEntry
import org.auburnlever.consensus.RejectionReason
import org.auburnlever.consensus.ReplicaEffect
import org.auburnlever.consensus.ReplicaId

/** Submissions of one replica that wait for their entry or their read index; used by the decision thread only. */
internal class PendingSubmissions<S, R> {
    /** Answers one submission: with the reply of its command (null for a membership change), or with a refusal. */
    private class Waiting<R>(val complete: (R?) -> Unit, val refuse: (Submission<Nothing>) -> Unit)

    private class WaitingEntry<R>(val term: Long, val waiting: Waiting<R>)

    private class WaitingRead<S>(val index: Long, val result: CompletableDeferred<Submission<S>>)

    private var lastId = 0L
    private val proposals = HashMap<Long, Waiting<R>>()
    private val reads = HashMap<Long, CompletableDeferred<Submission<S>>>()
    private val entries = HashMap<Long, WaitingEntry<R>>()
    private var confirmedReads = emptyList<WaitingRead<S>>()

    fun addProposal(result: CompletableDeferred<Submission<R>>): Long = add(
        Waiting(
            complete = { reply -> result.complete(Submission.Applied(checkNotNull(reply))) },
            refuse = { result.complete(it) },
        ),
    )

    fun addChange(result: CompletableDeferred<Submission<Unit>>): Long = add(
        Waiting(complete = { result.complete(Submission.Applied(Unit)) }, refuse = { result.complete(it) }),
    )

    fun addRead(result: CompletableDeferred<Submission<S>>): Long {
        lastId += 1
        reads[lastId] = result
        return lastId
    }

    fun accepted(effect: ReplicaEffect.Accepted) {
        val waiting = proposals.remove(effect.proposalId) ?: return
        entries[effect.index] = WaitingEntry(effect.term, waiting)
    }

    fun rejected(effect: ReplicaEffect.Rejected) {
        val refusal = refusal(effect.reason, effect.leader)
        proposals.remove(effect.proposalId)?.refuse?.invoke(refusal)
        reads.remove(effect.proposalId)?.complete(refusal)
    }

    /** Answers the submission that stands at [entry]; an entry of another term means that it was never committed. */
    fun applied(entry: LogEntry, reply: R?) {
        val expected = entries.remove(entry.index) ?: return
        if (expected.term == entry.term) {
            expected.waiting.complete(reply)
        } else {
            expected.waiting.refuse(Submission.NotLeader(leader = null))
        }
    }

    /** A snapshot replaced the entries up to [lastIndex], so what they held can't be told any more. */
    fun restored(lastIndex: Long) {
        entries.keys.filter { it <= lastIndex }.forEach { index ->
            entries.remove(index)?.waiting?.refuse?.invoke(Submission.Undecided("a snapshot replaced the entry"))
        }
    }

    fun confirmed(effect: ReplicaEffect.ReadConfirmed) {
        val result = reads.remove(effect.readId) ?: return
        confirmedReads = confirmedReads + WaitingRead(effect.index, result)
    }

    /** Serves the confirmed reads whose index is applied. */
    fun serveReads(state: S, appliedIndex: Long) {
        val (ready, waiting) = confirmedReads.partition { it.index <= appliedIndex }
        confirmedReads = waiting
        ready.forEach { it.result.complete(Submission.Applied(state)) }
    }

    private fun add(waiting: Waiting<R>): Long {
        lastId += 1
        proposals[lastId] = waiting
        return lastId
    }
}

private fun refusal(reason: RejectionReason, leader: ReplicaId?): Submission<Nothing> = when (reason) {
    RejectionReason.NOT_LEADER, RejectionReason.LEADERSHIP_LOST -> Submission.NotLeader(leader?.host)
    RejectionReason.TOO_LARGE -> Submission.Refused("the command is too large for one log entry")
    RejectionReason.CHANGE_PENDING -> Submission.Refused("another change of the membership is pending")
    RejectionReason.NOT_CAUGHT_UP -> Submission.Refused("the replica has not caught up yet")
    RejectionReason.UNKNOWN_REPLICA -> Submission.Refused("the replica is not a member")
    RejectionReason.OLD_INCARNATION_ACTIVE -> Submission.Refused("the replica's old incarnation still answers")
    RejectionReason.WOULD_LOSE_QUORUM -> Submission.Refused("the change would lose the quorum")
}
