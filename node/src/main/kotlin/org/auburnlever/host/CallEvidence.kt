package org.auburnlever.host

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.auburnlever.peer.GroupName

/**
 * What the attempts of one call to the leader of [group] show about its effect.
 *
 * It alone decides whether a refusal may be reported: not after an attempt that may have taken effect, since a later
 * attempt is decided for itself, with a configuration and a load that may have changed in between.
 *
 * @property hasEffect whether the call can have an effect; a read without an answer may be reported as not submitted
 */
internal data class CallEvidence(
    private val group: GroupName,
    private val hasEffect: Boolean = true,
    private val undecidedMessage: String? = null,
    private val lastRefusal: RefusalEvidence = RefusalEvidence.NOT_HANDED_ON,
) {
    /** Whether an attempt ended without a reply. */
    val hasLostReply: Boolean get() = undecidedMessage != null

    /** Whether an attempt may have taken effect, or may still do so. */
    val mayHaveTakenEffect: Boolean get() = hasEffect && hasLostReply

    /** Returns this evidence with that of another attempt. */
    fun with(outcome: AttemptOutcome<*>): CallEvidence {
        val answer = outcome.answer
        return copy(
            undecidedMessage = if (answer is Submission.Undecided) "$group: ${answer.message}" else undecidedMessage,
            lastRefusal = outcome.evidence ?: lastRefusal,
        )
    }

    /** Returns what is reported of a call that ends with [reply], which says that its last attempt has no effect. */
    fun <T> refused(reply: T): Result<T, SubmitError> = unlessUndecided(Ok(reply))

    /** Returns what is reported of a call that ends without a reply, for the reason [message]. */
    fun notSubmitted(message: String, retryAfterMillis: Long? = null): Result<Nothing, SubmitError> =
        unlessUndecided(Err(SubmitError.NotSubmitted(message, lastRefusal, retryAfterMillis)))

    private fun <T> unlessUndecided(refusal: Result<T, SubmitError>): Result<T, SubmitError> =
        if (hasEffect && undecidedMessage != null) Err(SubmitError.Undecided(undecidedMessage)) else refusal
}
