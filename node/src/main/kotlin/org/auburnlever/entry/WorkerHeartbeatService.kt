package org.auburnlever.entry

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServiceRequestContext
import kotlinx.coroutines.future.await
import kotlinx.coroutines.future.future
import org.auburnlever.codec.Codec
import org.auburnlever.host.SubmitError
import org.auburnlever.model.DomainName
import org.auburnlever.wire.ErrorCode
import org.auburnlever.wire.HeartbeatReply
import org.auburnlever.wire.WorkerHeartbeat

/**
 * Serves `POST /v1/workers/heartbeat`: forwards a worker's heartbeat to the leader of its ledger and responds with the
 * lease and orders. The response is delayed by up to 1 s until there are orders.
 */
class WorkerHeartbeatService(
    private val context: EntryContext,
    private val failureDomain: DomainName,
    private val send: suspend (WorkerHeartbeat, timeoutMillis: Long) -> Result<HeartbeatReply, SubmitError>,
) : HttpService {
    private val authenticator = Authenticator(context.inForce)

    override fun serve(ctx: ServiceRequestContext, req: HttpRequest): HttpResponse {
        ctx.setMaxRequestLength(MAX_HEARTBEAT_BYTES)
        return HttpResponse.of(context.scope.future { respond(req) })
    }

    private suspend fun respond(req: HttpRequest): HttpResponse {
        if (context.inForce() == null) return refusal(ErrorCode.NO_CONFIGURATION, "no bundle is in force yet")
        val request = req.aggregate().await()
        return if (authenticator.hasPlatformToken(request.headers())) {
            Codec.json.decode(WorkerHeartbeat.serializer(), request.contentUtf8())
                .fold({ forward(it) }, { refusal(ErrorCode.BAD_REQUEST, "invalid heartbeat: $it") })
        } else {
            refusal(ErrorCode.UNAUTHORIZED, "a bearer token of the platform is required")
        }
    }

    private suspend fun forward(heartbeat: WorkerHeartbeat): HttpResponse {
        val problem = heartbeat.problem(failureDomain)
        if (problem != null) return refusal(ErrorCode.BAD_REQUEST, problem)
        return send(heartbeat, TIMEOUT_MILLIS).fold(
            { jsonResponse(HeartbeatReply.serializer(), it) },
            { refusal(ErrorCode.DOMAIN_UNREACHABLE, it.message) },
        )
    }

    private companion object {
        const val MAX_HEARTBEAT_BYTES = 1_000_000L

        /** Leaves a worker enough time for two more heartbeats within its lease of 10 s. */
        const val TIMEOUT_MILLIS = 4_000L
    }
}

/** Returns why an entry host of [domain] must reject this heartbeat, or null if it is valid. */
internal fun WorkerHeartbeat.problem(domain: DomainName): String? = when {
    !WORKER_NAME.matches(worker.value) -> "worker must have 1 to 64 letters, digits, dots, dashes or underscores"
    !WORKER_NAME.matches(rack.value) -> "rack must have 1 to 64 letters, digits, dots, dashes or underscores"
    failureDomain != domain -> "failureDomain is $failureDomain, but this entry host belongs to $domain"
    acceleratorCount !in 0..MAX_ACCELERATORS -> "acceleratorCount $acceleratorCount is not within 0..$MAX_ACCELERATORS"
    cores !in 1..MAX_CORES -> "cores $cores is not within 1..$MAX_CORES"
    memoryMiB !in 1..MAX_MEMORY_MIB -> "memoryMiB $memoryMiB is not within 1..$MAX_MEMORY_MIB"
    epochMillis < 0 || sequence < 0 -> "epochMillis and sequence must not be negative"
    basedOn != null && basedOn !in 0 until sequence -> "basedOn $basedOn is not an earlier heartbeat's sequence"
    basedOn == null && dropped.isNotEmpty() -> "dropped is set without basedOn"
    else -> null
}

private val WORKER_NAME = Regex("[A-Za-z0-9._-]{1,64}")
private const val MAX_ACCELERATORS = 64
private const val MAX_CORES = 4_096
private const val MAX_MEMORY_MIB = 67_108_864L
