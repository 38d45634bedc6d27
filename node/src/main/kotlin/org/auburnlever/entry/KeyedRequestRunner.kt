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
import org.auburnlever.peer.ServiceRequest
import org.auburnlever.wire.ErrorCode
import org.auburnlever.wire.Outcome
import org.auburnlever.world.DomainName
import org.auburnlever.world.HostName

/** A request with a key, on its way through the ledger of [owner]; [claimId] is unique to this arrival. */
internal data class KeyedRequest(
    val request: ServiceRequest,
    val key: RequestKey,
    val owner: DomainName,
    val claimId: String,
    val firstAttempt: Boolean,
    val deadlineMillis: Long,
) {
    /** Ties the key to its body. */
    val bodySha256Hex: String = sha256Hex(request.body.toByteArray())
}

/**
 * Runs requests that are not repeatable: claims the key, runs the request if the claim is granted, and records the
 * outcome. [clock] returns monotonic milliseconds.
 */
internal class KeyedRequestRunner(
    private val ledger: LedgerClient,
    private val host: HostName,
    scope: CoroutineScope,
    private val metrics: RoutingMetrics,
    private val clock: () -> Long,
) {
    private val recorder = OutcomeRecorder(ledger, scope, metrics, clock)

    /** Outcomes that are still being recorded. */
    val unrecorded: Int get() = recorder.unrecorded

    /** Runs [keyed] with [dispatch] unless its key was claimed before; then the outcome is the first one. */
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

    /** Null while an earlier request with the same key is in progress. */
    private suspend fun submitClaim(keyed: KeyedRequest, seenInProgress: Boolean): ClaimResult? {
        val remaining = (keyed.deadlineMillis - clock()).coerceAtLeast(1)
        val purpose = ClaimPurpose.Request(keyed.request.service)
        val command = LedgerCommand.Claim(keyed.key, keyed.bodySha256Hex, purpose, keyed.claimId, host, remaining)
        val mayBeResend = seenInProgress || !keyed.firstAttempt
        return ledger.submit(keyed.owner, command, remaining).fold(
            success = { claimResult(it, purpose) },
            failure = { claimError(it, mayBeResend) },
        )
    }

    private fun claimResult(reply: LedgerReply, purpose: ClaimPurpose): ClaimResult? {
        metrics.claim(reply.label)
        return when (reply) {
            is LedgerReply.ClaimGranted -> ClaimResult.Granted
            is LedgerReply.ClaimExists -> existingClaim(reply, purpose)
            is LedgerReply.Rejected -> ClaimResult.NotGranted(reply.refusal)
            else -> unknown(ErrorCode.INTERNAL, "unexpected answer to a claim")
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

    /** An earlier attempt that ran may hide behind a claim that could not be submitted. */
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

        /** Each poll is a log entry of the ledger, so a waiting resend costs at most one a second. */
        const val MAX_BACKOFF_MILLIS = 1_000L
    }
}

/** Answer of the ledger to a claim. */
internal sealed interface ClaimResult {
    /** This host holds the claim and runs the request. */
    data object Granted : ClaimResult

    /** The request is not run here; [outcome] goes to the caller. */
    data class NotGranted(val outcome: Outcome) : ClaimResult
}

/** Drops an answer that is too large for the ledger and keeps its length and digest. */
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
