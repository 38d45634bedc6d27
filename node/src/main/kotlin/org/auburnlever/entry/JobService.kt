package org.auburnlever.entry

import com.github.michaelbull.result.fold
import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServiceRequestContext
import kotlinx.coroutines.future.await
import kotlinx.coroutines.future.future
import org.auburnlever.codec.Codec
import org.auburnlever.configuration.ClientAccount
import org.auburnlever.ledger.RequestKey
import org.auburnlever.wire.ErrorCode
import org.auburnlever.wire.Headers
import org.auburnlever.wire.JobSpec
import org.auburnlever.wire.JobView

/**
 * Serves `POST /v1/jobs`, which submits a job, `GET /v1/jobs/{id}`, which reads it, and `DELETE /v1/jobs/{id}`, which
 * cancels it.
 *
 * New jobs are refused while [isDraining] returns true, because the host shuts down. The outcome is unknown instead if
 * the key of the job may have been sent to another host before.
 */
class JobService(
    private val context: EntryContext,
    private val jobs: JobSubmissions,
    private val isDraining: () -> Boolean,
) : HttpService {
    private val authenticator = Authenticator(context.inForce)

    override fun serve(ctx: ServiceRequestContext, req: HttpRequest): HttpResponse {
        ctx.setMaxRequestLength(MAX_JOB_BYTES)
        return HttpResponse.of(context.scope.future { respond(ctx, req) })
    }

    private suspend fun respond(ctx: ServiceRequestContext, req: HttpRequest): HttpResponse {
        val headers = req.headers()
        val account = authenticator.account(headers)
        val jobId = ctx.pathParam("id")
        return when {
            context.inForce() == null ->
                notTaken(headers, ErrorCode.NO_CONFIGURATION, "no bundle is in force yet")
            account == null ->
                notTaken(headers, ErrorCode.UNAUTHORIZED, "a bearer token of a client account is required")
            jobId == null -> submit(ctx, account, req.aggregate().await())
            ctx.requestInProgress?.handOn() == false -> ctx.notHandedOn()
            req.method() == HttpMethod.DELETE -> jobs.cancel(jobId, account.name).toHttpResponse()
            else -> jobs.read(jobId, account.name).toHttpResponse()
        }
    }

    private suspend fun submit(
        ctx: ServiceRequestContext,
        account: ClientAccount,
        request: AggregatedHttpRequest,
    ): HttpResponse {
        val key = request.headers().get(Headers.IDEMPOTENCY_KEY)
        return when {
            isDraining() ->
                notTaken(request.headers(), ErrorCode.SHUTTING_DOWN, "the entry host is shutting down")
            key == null -> refusal(ErrorCode.BAD_REQUEST, "a job needs the header ${Headers.IDEMPOTENCY_KEY}")
            ctx.requestInProgress?.handOn() == false -> ctx.notHandedOn()
            else -> submit(account, RequestKey(account.name, key), request)
        }
    }

    private suspend fun submit(
        account: ClientAccount,
        key: RequestKey,
        request: AggregatedHttpRequest,
    ): HttpResponse =
        Codec.json.decode(JobSpec.serializer(), request.contentUtf8()).fold(
            { spec ->
                val digest = sha256Hex(request.content().array())
                jobs.submit(account, key, digest, spec, request.headers().mayBeResend)
                    .toHttpResponse(HttpStatus.ACCEPTED)
            },
            { refusal(ErrorCode.BAD_REQUEST, "invalid job: $it") },
        )

    private fun notTaken(headers: RequestHeaders, code: ErrorCode, message: String): HttpResponse =
        notTaken(headers.mayBeResend, code, message).toHttpResponse()

    private fun JobResult.toHttpResponse(status: HttpStatus = HttpStatus.OK): HttpResponse = when (this) {
        is JobResult.Found -> jsonResponse(JobView.serializer(), view, status)
        is JobResult.Error -> outcome.toHttpResponse()
    }

    private companion object {
        const val MAX_JOB_BYTES = 262_144L
    }
}
