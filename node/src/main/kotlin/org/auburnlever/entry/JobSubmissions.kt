package org.auburnlever.entry

import com.github.michaelbull.result.fold
import kotlinx.serialization.builtins.nullable
import org.auburnlever.codec.Codec
import org.auburnlever.configuration.Bundle
import org.auburnlever.configuration.ClientAccount
import org.auburnlever.host.LedgerClient
import org.auburnlever.host.SubmitError
import org.auburnlever.ledger.ClaimPurpose
import org.auburnlever.ledger.LedgerCommand
import org.auburnlever.ledger.LedgerReply
import org.auburnlever.ledger.RequestKey
import org.auburnlever.model.AccountName
import org.auburnlever.model.DomainName
import org.auburnlever.model.HostName
import org.auburnlever.peer.LedgerQuery
import org.auburnlever.routing.KeyOwnerResolver
import org.auburnlever.wire.ErrorCode
import org.auburnlever.wire.JobSpec
import org.auburnlever.wire.JobView
import org.auburnlever.wire.Outcome
import java.util.UUID

/** Result of a submission, read or cancellation of a job. */
sealed interface JobResult {
    /** The job is recorded in its ledger; [view] is its state. */
    data class Found(val view: JobView) : JobResult

    /** The state of the job is not available; [outcome] says whether the job may run. */
    data class Error(val outcome: Outcome) : JobResult
}

/**
 * Submits jobs to the ledger of their failure domain, reads them and cancels them.
 *
 * The ledger that owns the job's key records the chosen failure domain first, so that a resend through any entry host
 * reaches the same ledger. [chooseDomain] selects the failure domain of a job that names none.
 */
class JobSubmissions(
    private val host: HostName,
    private val ledgers: LedgerClient,
    private val inForce: () -> Bundle?,
    private val chooseDomain: (ClientAccount, JobSpec) -> DomainName,
) {
    /**
     * Submits a job, or returns the job that was submitted with [key] before. If the key [mayBeResend], the job is
     * refused only after the ledger was asked for it.
     */
    suspend fun submit(
        account: ClientAccount,
        key: RequestKey,
        bodySha256Hex: String,
        spec: JobSpec,
        mayBeResend: Boolean,
    ): JobResult {
        val bundle = inForce()
        val requestedDomain = spec.failureDomain
        return when {
            bundle == null ->
                JobResult.Error(notTaken(mayBeResend, ErrorCode.NO_CONFIGURATION, "no bundle is in force yet"))
            requestedDomain != null && bundle.failureDomains.none { it.name == requestedDomain } -> {
                val message = "failureDomain $requestedDomain is not in the bundle"
                JobResult.Error(notTaken(mayBeResend, ErrorCode.BAD_REQUEST, message))
            }
            else -> KeyOwnerResolver(bundle.claimDomains).owner(key).fold(
                { owner ->
                    val domain = requestedDomain ?: chooseDomain(account, spec)
                    claim(owner, key, bodySha256Hex, spec, domain).forResend(mayBeResend)
                },
                { refused(ErrorCode.BAD_REQUEST, it.message) },
            )
        }
    }

    /** Reads the job of [account] with [jobId]. */
    suspend fun read(jobId: String, account: AccountName): JobResult {
        val domain = domainOf(jobId) ?: return noSuchJob(jobId)
        return ledgers.read(domain, LedgerQuery.Job(jobId, account), READ_TIMEOUT_MILLIS).fold(
            { json ->
                val view = Codec.json.decodeFromString(JobView.serializer().nullable, json)
                view?.let { JobResult.Found(it) } ?: noSuchJob(jobId)
            },
            { unreachable(it.message) },
        )
    }

    /** Cancels the job of [account] with [jobId]. */
    suspend fun cancel(jobId: String, account: AccountName): JobResult {
        val domain = domainOf(jobId) ?: return noSuchJob(jobId)
        return ledgers.submit(domain, LedgerCommand.CancelJob(jobId, account), SUBMIT_TIMEOUT_MILLIS)
            .fold({ it.toJobResult() }, { unreachable(it.message) })
    }

    private suspend fun claim(
        owner: DomainName,
        key: RequestKey,
        bodySha256Hex: String,
        spec: JobSpec,
        domain: DomainName,
    ): JobResult {
        val purpose = ClaimPurpose.Job(jobId(domain, key), domain)
        val claimId = UUID.randomUUID().toString()
        val claim = LedgerCommand.Claim(key, bodySha256Hex, purpose, claimId, host, SUBMIT_TIMEOUT_MILLIS)
        return ledgers.submit(owner, claim, SUBMIT_TIMEOUT_MILLIS).fold(
            { reply ->
                claimedJob(reply, purpose)?.let { record(it, key, bodySha256Hex, spec) } ?: reply.toJobResult()
            },
            // Unknown rather than refused, because an earlier attempt with this key may have been accepted.
            { unreachable(it.message) },
        )
    }

    /** Returns the job id and failure domain that the first claim of the key recorded, or null without a job claim. */
    private fun claimedJob(reply: LedgerReply, requested: ClaimPurpose.Job): ClaimPurpose.Job? = when (reply) {
        is LedgerReply.ClaimGranted -> requested
        is LedgerReply.ClaimExists -> reply.purpose as? ClaimPurpose.Job
        else -> null
    }

    private suspend fun record(
        purpose: ClaimPurpose.Job,
        key: RequestKey,
        bodySha256Hex: String,
        spec: JobSpec,
    ): JobResult {
        val command = LedgerCommand.SubmitJob(purpose.jobId, key, bodySha256Hex, spec)
        return ledgers.submit(purpose.failureDomain, command, SUBMIT_TIMEOUT_MILLIS)
            .fold({ it.toJobResult() }, { unreachable(it) })
    }

    private fun LedgerReply.toJobResult(): JobResult = when (this) {
        is LedgerReply.Job -> JobResult.Found(view)
        is LedgerReply.Rejected -> JobResult.Error(refusal)
        is LedgerReply.ClaimExists -> refused(ErrorCode.KEY_REUSED, "the key belongs to a service request")
        is LedgerReply.ClaimGranted, LedgerReply.Done ->
            JobResult.Error(Outcome.Unknown(ErrorCode.INTERNAL, "unexpected ledger reply to a job command"))
    }

    private fun JobResult.forResend(mayBeResend: Boolean): JobResult = when (this) {
        is JobResult.Found -> this
        is JobResult.Error -> JobResult.Error(outcome.forResend(mayBeResend))
    }

    private fun unreachable(error: SubmitError): JobResult = unreachable(error.message)

    private companion object {
        /** Longer than an election (at most 2 s), so that a submission succeeds despite the loss of a leader. */
        const val SUBMIT_TIMEOUT_MILLIS = 5_000L
        const val READ_TIMEOUT_MILLIS = 5_000L
    }
}

/** Returns the id of the job that was submitted with [key] and runs in [domain]; it contains the domain's name. */
internal fun jobId(domain: DomainName, key: RequestKey): String {
    val digest = sha256Hex("${key.account}\n${key.key}".encodeToByteArray())
    return "$domain.${digest.take(JOB_DIGEST_CHARS)}"
}

private fun domainOf(jobId: String): DomainName? =
    JOB_ID.matchEntire(jobId)?.let { DomainName(it.groupValues[1]) }

private fun noSuchJob(jobId: String): JobResult = refused(ErrorCode.NOT_FOUND, "no job \"$jobId\"")

private fun refused(code: ErrorCode, message: String): JobResult = JobResult.Error(Outcome.Refused(code, message))

private fun unreachable(message: String): JobResult =
    JobResult.Error(Outcome.Unknown(ErrorCode.DOMAIN_UNREACHABLE, message))

private const val JOB_DIGEST_CHARS = 24
private val JOB_ID = Regex("([a-z0-9-]{1,63})\\.([0-9a-f]{$JOB_DIGEST_CHARS})")
