package org.auburnlever.host

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import org.auburnlever.peer.PeerReply
import org.auburnlever.transport.CallError

/**
 * How one attempt of a call ended.
 *
 * @property summary short text for a log line
 * @property evidence why the attempt has no effect; null if it has one or can have one
 */
internal class AttemptOutcome<out T>(
    val answer: Submission<T>,
    val summary: String = answer.summary(),
    val evidence: RefusalEvidence? = answer.evidence,
)

/** Returns how an attempt ended that was sent to another host, whose reply is read with [decode]. */
internal fun <T> Result<PeerReply, CallError>.toOutcome(decode: (PeerReply) -> Submission<T>): AttemptOutcome<T> = fold(
    { AttemptOutcome(decode(it)) },
    { error ->
        when (error) {
            is CallError.NotSent ->
                AttemptOutcome(Submission.NotLeader(null), "not sent: ${error.message}", RefusalEvidence.NOT_SENT)
            is CallError.NoReply -> AttemptOutcome(Submission.Undecided(error.message))
        }
    },
)

/** Returns this outcome with the evidence of the log, if [isRefusal] of its reply. */
internal fun <T> AttemptOutcome<T>.withRefusal(isRefusal: (T) -> Boolean): AttemptOutcome<T> =
    if (answer is Submission.Applied && isRefusal(answer.reply)) {
        AttemptOutcome(answer, "refused by the log: ${answer.reply}", RefusalEvidence.REFUSED_BY_LOG)
    } else {
        this
    }
