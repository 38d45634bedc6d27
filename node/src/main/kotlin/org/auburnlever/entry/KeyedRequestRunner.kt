package org.auburnlever.entry

import com.github.michaelbull.result.fold
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import org.auburnlever.host.LedgerClient
import org.auburnlever.host.SubmitError
import org.auburnlever.ledger.ClaimPurpose
import org.auburnlever.ledger.LedgerCommand
import org.auburnlever.ledger.LedgerReply
import org.auburnlever.ledger.RequestKey
import org.auburnlever.model.DomainName
import org.auburnlever.model.HostName
import org.auburnlever.peer.ServiceRequest
import org.auburnlever.wire.ErrorCode
import org.auburnlever.wire.Outcome

/**
 * A request with an idempotency key, which is claimed in the ledger of [owner]. [claimId] is unique to this arrival of
 * the request; a resend gets another one.
 */
internal data class KeyedRequest(
    val request: ServiceRequest,
    val key: RequestKey,
    val owner: DomainName,
    val claimId: String,
    val firstAttempt: Boolean,
    val deadlineMillis: Long,
) {
    /** Digest of the body, to which the claim binds the key. */
    val bodySha256Hex: String = sha256Hex(request.body.toByteArray())
}

/**
 * Runs requests that are not repeatable: claims the key in the ledger, runs the request if the claim is granted, and
 * records the outcome. [clock] returns monotonic milliseconds.
 */
internal class KeyedRequestRunner(
    private val ledger: LedgerClient,
    private val host: HostName,
    scope: CoroutineScope,
    private val metrics: RoutingMetrics,
    private val clock: () -> Long,
) {
    private val recorder = OutcomeRecorder(ledger, scope, metrics, clock)

    /** Number of outcomes that are still being recorded. */
    val unrecorded: Int get() = recorder.unrecorded

    /** Runs [keyed] with [dispatch], or returns the outcome of the first request if the key was claimed before. */
    suspend fun run(
        keyed: KeyedRequest,
        maxStoredAnswerBytes: Int,
        dispatch: suspend (ServiceRequest) -> Outcome,
    ): Outcome =
        when (val claim = claim(keyed)) {
            is ClaimResult.NotGranted -> claim.outcome
            is ClaimResult.Granted -> {
                val outcome = runClaimed(keyed, dispatch)
                recorder.record(keyed, outcome.forLedger(maxStoredAnswerBytes))
                outcome
            }
        }

    private suspend fun runClaimed(keyed: KeyedRequest, dispatch: suspend (ServiceRequest) -> Outcome): Outcome {
        val remaining = keyed.deadlineMillis - clock()
        return if (remaining > 0) {
            dispatch(keyed.request.copy(timeoutMillis = remaining))
        } else {
            Outcome.Refused(ErrorCode.DEADLINE_EXCEEDED, "the claim was granted after the deadline")
        }
    }

    private suspend fun claim(keyed: KeyedRequest): ClaimResult {
        var backoffMillis = INITIAL_BACKOFF_MILLIS
        var result = submitClaim(keyed, seenInProgress = false)
        while (result == null && keyed.deadlineMillis - clock() > backoffMillis) {
            delay(backoffMillis)
            backoffMillis = (backoffMillis * 2).coerceAtMost(MAX_BACKOFF_MILLIS)
            result = submitClaim(keyed, seenInProgress = true)
        }
        return result ?: unknown(ErrorCode.IN_PROGRESS, "an earlier request with this key is still in progress")
    }

    /** Submits the claim once; returns null while an earlier request with the same key is in progress. */
    private suspend fun submitClaim(keyed: KeyedRequest, seenInProgress: Boolean): ClaimResult? {
        val remaining = (keyed.deadlineMillis - clock()).coerceAtLeast(1)
        val purpose = ClaimPurpose.Request(keyed.request.service)
        val command = LedgerCommand.Claim(keyed.key, keyed.bodySha256Hex, purpose, keyed.claimId, host, remaining)
        val mayBeResend = seenInProgress || !keyed.firstAttempt
        return ledger.submit(keyed.owner, command, remaining).fold(
            success = { claimResult(it, purpose, mayBeResend) },
            failure = { claimError(it, mayBeResend) },
        )
    }

    private fun claimResult(reply: LedgerReply, purpose: ClaimPurpose, mayBeResend: Boolean): ClaimResult? {
        metrics.claim(reply.label)
        return when (reply) {
            is LedgerReply.ClaimGranted -> ClaimResult.Granted
            is LedgerReply.ClaimExists -> existingClaim(reply, purpose)
            is LedgerReply.Rejected -> ClaimResult.NotGranted(reply.refusal.forResend(mayBeResend))
            else -> unknown(ErrorCode.INTERNAL, "unexpected ledger reply to a claim")
        }
    }

    private fun existingClaim(reply: LedgerReply.ClaimExists, purpose: ClaimPurpose): ClaimResult? =
        if (reply.purpose == purpose) {
            reply.outcome?.let { ClaimResult.NotGranted(it) }
        } else {
            ClaimResult.NotGranted(
                Outcome.Refused(ErrorCode.KEY_REUSED, "the key was used for another service or a job"),
            )
        }

    /**
     * Returns refused only if no request with this key can have run. For a possible resend the outcome is unknown even
     * if the claim was not submitted, because an earlier attempt may have run.
     */
    private fun claimError(error: SubmitError, mayBeResend: Boolean): ClaimResult {
        metrics.claim(if (error is SubmitError.NotSubmitted) "not_submitted" else "undecided")
        return when {
            error is SubmitError.Undecided || mayBeResend -> unknown(ErrorCode.DOMAIN_UNREACHABLE, error.message)
            else -> ClaimResult.NotGranted(Outcome.Refused(ErrorCode.DOMAIN_UNREACHABLE, error.message))
        }
    }

    private fun unknown(code: ErrorCode, message: String) = ClaimResult.NotGranted(Outcome.Unknown(code, message))

    private companion object {
        const val INITIAL_BACKOFF_MILLIS = 50L

        /** Each poll adds an entry to the ledger's log, so a waiting resend polls at most about once a second. */
        const val MAX_BACKOFF_MILLIS = 1_000L
    }
}

/** Result of a claim. */
internal sealed interface ClaimResult {
    /** This host holds the claim and has to run the request. */
    data object Granted : ClaimResult

    /** This host must not run the request; [outcome] is returned to the caller. */
    data class NotGranted(val outcome: Outcome) : ClaimResult
}

/** Removes the body of an answer that is too large for the ledger; its length and digest stay. */
internal fun Outcome.forLedger(maxStoredAnswerBytes: Int): Outcome =
    if (this is Outcome.Completed && answer.lengthBytes > maxStoredAnswerBytes) {
        Outcome.Completed(answer.copy(body = null))
    } else {
        this
    }

private val LedgerReply.label: String
    get() = when (this) {
        is LedgerReply.ClaimGranted -> "granted"
        is LedgerReply.ClaimExists -> if (outcome == null) "in_progress" else "exists"
        is LedgerReply.Rejected -> "rejected"
        else -> "unexpected"
    }
