package org.auburnlever.entry

import com.github.michaelbull.result.fold
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServiceRequestContext
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.future.future
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.auburnlever.codec.Bytes
import org.auburnlever.configuration.Bundle
import org.auburnlever.configuration.ClientAccount
import org.auburnlever.host.LedgerClient
import org.auburnlever.ledger.RequestKey
import org.auburnlever.model.HostName
import org.auburnlever.model.ServiceName
import org.auburnlever.observe.Dumpable
import org.auburnlever.peer.ServiceRequest
import org.auburnlever.routing.KeyOwnerResolver
import org.auburnlever.wire.ErrorCode
import org.auburnlever.wire.Headers
import org.auburnlever.wire.Outcome
import java.util.UUID

/** Dependencies of the entry services; [scope] runs the requests and [clock] returns monotonic milliseconds. */
class EntryContext(
    val host: HostName,
    val scope: CoroutineScope,
    val inForce: () -> Bundle?,
    val clock: () -> Long,
    val timeouts: RequestTimeouts = RequestTimeouts(),
)

/**
 * Serves `POST /v1/services/{service}/requests`: runs a request of a client account and returns its outcome.
 *
 * A request continues to run when its caller disconnects, because its outcome is recorded for a resend.
 */
class ServiceRequestService(
    private val context: EntryContext,
    private val dispatcher: Dispatcher,
    ledger: LedgerClient,
    metrics: RoutingMetrics,
    bodyMemoryBytes: Long = BODY_MEMORY_BYTES,
) : HttpService, Dumpable {
    private val memory = BodyMemory(bodyMemoryBytes)
    private val authenticator = Authenticator(context.inForce)
    private val keyedRequests = KeyedRequestRunner(ledger, context.host, context.scope, metrics, context.clock)
    private val requests = RequestsInProgress()

    override fun serve(ctx: ServiceRequestContext, req: HttpRequest): HttpResponse =
        HttpResponse.of(
            context.scope.future { requests.track { respond(ctx, req) } }.exceptionally { internalError(it) },
        )

    /** Refuses further requests; requests in progress continue. */
    fun beginDrain() {
        requests.close()
        dispatcher.close()
    }

    /**
     * Refuses further requests and waits until those in progress have ended and their outcomes are recorded, at most
     * for [limitMillis]. Returns the number of requests that have not ended by then.
     */
    suspend fun drain(limitMillis: Long): Int {
        beginDrain()
        val untilMillis = context.clock() + limitMillis
        while (inProgress > 0 && context.clock() < untilMillis) delay(DRAIN_CHECK_MILLIS)
        return inProgress
    }

    override fun dump(): JsonElement = buildJsonObject {
        put("inProgress", requests.count)
        put("unrecorded", keyedRequests.unrecorded)
        put("shuttingDown", requests.isClosed)
        put("bodyBytes", memory.usedBytes)
    }

    /** A request that waits for its outcome to be recorded is in both counts of the maximum, so it counts once. */
    private val inProgress: Int get() = maxOf(requests.count, keyedRequests.unrecorded) + dispatcher.peerRequests

    private suspend fun respond(ctx: ServiceRequestContext, req: HttpRequest): HttpResponse {
        val beforeDrain = !requests.isClosed
        val bundle = context.inForce()
        val account = authenticator.account(req.headers())
        return when {
            bundle == null -> req.headers().notTaken(ErrorCode.NO_CONFIGURATION, "no bundle is in force yet")
            account == null ->
                req.headers().notTaken(ErrorCode.UNAUTHORIZED, "a bearer token of a client account is required")
            else -> req.headers().toRequestHead(context.timeouts).fold(
                success = {
                    run(IncomingRequest(bundle, account, it, context.clock(), beforeDrain), ctx, req).toHttpResponse()
                },
                failure = { refusal(ErrorCode.BAD_REQUEST, it) },
            )
        }
    }

    private suspend fun run(incoming: IncomingRequest, ctx: ServiceRequestContext, req: HttpRequest): Outcome {
        val limit = incoming.bundle.limits.maxRequestBytes
        val length = req.headers().contentLength()
        val reserved = if (length >= 0) length else limit.toLong()
        return when {
            length > limit -> incoming.notRunOutcome(BodyError.TOO_LARGE)
            !memory.reserve(reserved) -> incoming.notRunOutcome(BodyError.NO_MEMORY)
            else -> try {
                readAndRun(incoming, ctx, req)
            } finally {
                memory.release(reserved)
            }
        }
    }

    private suspend fun readAndRun(incoming: IncomingRequest, ctx: ServiceRequestContext, req: HttpRequest): Outcome {
        val limit = incoming.bundle.limits.maxRequestBytes
        ctx.setRequestTimeoutMillis(incoming.head.timeoutMillis + ANSWER_GRACE_MILLIS)
        ctx.setMaxRequestLength(limit + LENGTH_SLACK_BYTES)
        return req.readBody(limit).fold(
            success = {
                if (ctx.requestInProgress?.handOn() == false) {
                    incoming.notRunOutcome(ErrorCode.SHUTTING_DOWN, "the host is closing")
                } else {
                    run(incoming, incoming.toServiceRequest(ServiceName(ctx.pathParam("service").orEmpty()), it))
                }
            },
            failure = { incoming.notRunOutcome(it) },
        )
    }

    private suspend fun run(incoming: IncomingRequest, request: ServiceRequest): Outcome {
        val key = request.key
        return when {
            !request.repeatable && key != null -> runKeyed(incoming, request, key)
            incoming.beforeDrain -> dispatcher.dispatch(request.remaining(incoming))
            else -> SHUTTING_DOWN
        }
    }

    /**
     * Claims the key and runs the request if the claim is granted.
     *
     * The key is claimed even while the host shuts down, because the claim shows whether the request is a resend of one
     * that ran. A granted claim then ends as refused, so that a resend through another host can claim the key again.
     */
    private suspend fun runKeyed(incoming: IncomingRequest, request: ServiceRequest, key: RequestKey): Outcome =
        KeyOwnerResolver(incoming.bundle.claimDomains).owner(key).fold(
            success = { owner ->
                val deadlineMillis = incoming.startMillis + incoming.head.timeoutMillis
                val claimId = "${context.host}-${UUID.randomUUID()}"
                val keyed = KeyedRequest(request, key, owner, claimId, incoming.head.firstAttempt, deadlineMillis)
                keyedRequests.run(keyed, incoming.bundle.limits.maxStoredAnswerBytes) {
                    if (incoming.beforeDrain) dispatcher.dispatch(it) else SHUTTING_DOWN
                }
            },
            failure = { Outcome.Refused(ErrorCode.BAD_REQUEST, it.message) },
        )

    private fun ServiceRequest.remaining(incoming: IncomingRequest): ServiceRequest =
        copy(timeoutMillis = (timeoutMillis - (context.clock() - incoming.startMillis)).coerceAtLeast(1))

    private companion object {
        /** Time after the caller's timeout in which a response is still sent, before Armeria ends the exchange. */
        const val ANSWER_GRACE_MILLIS = 2_000L

        /**
         * Beyond the limit plus this slack, Armeria ends the exchange itself with an error that has no outcome. Within
         * the slack, a body that is too long and has no content-length gets an error response with an outcome.
         */
        const val LENGTH_SLACK_BYTES = 65_536L
        const val DRAIN_CHECK_MILLIS = 20L
        val SHUTTING_DOWN = Outcome.Refused(ErrorCode.SHUTTING_DOWN, "the entry host is shutting down")
    }
}

/** A received request, with the state of the host at the time of its arrival. */
private class IncomingRequest(
    val bundle: Bundle,
    val account: ClientAccount,
    val head: RequestHead,
    val startMillis: Long,
    val beforeDrain: Boolean,
) {
    fun toServiceRequest(service: ServiceName, body: Bytes) = ServiceRequest(
        requestId = UUID.randomUUID().toString(),
        account = account.name,
        service = service,
        key = head.key?.let { RequestKey(account.name, it) },
        repeatable = head.repeatable,
        urgent = head.urgent,
        timeoutMillis = head.timeoutMillis,
        contentType = head.contentType,
        body = body,
    )

    /** Returns the outcome of a request that was not run; unknown if an earlier one with the same key may have run. */
    fun notRunOutcome(error: BodyError): Outcome = notRunOutcome(error.code, error.message)

    /** As above, with the [code] and [message] of the reason. */
    fun notRunOutcome(code: ErrorCode, message: String): Outcome =
        notTaken(mayBeResend = !head.repeatable && !head.firstAttempt, code, message)
}

private fun RequestHeaders.notTaken(code: ErrorCode, message: String): HttpResponse {
    val repeatable = get(Headers.REPEATABLE) != "false"
    return notTaken(!repeatable && mayBeResend, code, message).toHttpResponse()
}

/** Returns the outcome `unknown`, because the request may have run before this process failed or stopped. */
private fun internalError(failure: Throwable): HttpResponse =
    Outcome.Unknown(ErrorCode.INTERNAL, "internal error: ${failure.unwrapped()}").toHttpResponse()

/**
 * Up to three copies of a body exist while it is sent (received, kept for a retry, in transmission), so bodies take at
 * most 15 MB of the heap of 40 MB.
 */
private const val BODY_MEMORY_BYTES = 5_000_000L
