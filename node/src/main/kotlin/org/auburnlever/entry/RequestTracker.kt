package org.auburnlever.entry

import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.common.logging.RequestLog
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServerBuilder
import com.linecorp.armeria.server.ServerErrorHandler
import com.linecorp.armeria.server.ServiceConfig
import com.linecorp.armeria.server.ServiceRequestContext
import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.MeterRegistry
import java.util.concurrent.ConcurrentHashMap

private val logger = KotlinLogging.logger {}

/**
 * Records the requests that a server ends in place of their service: at a timeout, an exception or its own close.
 *
 * The server knows nothing about a request, so that a status that it chooses itself may promise something untrue.
 */
class RequestTracker(private val registry: MeterRegistry) {
    private val requests = ConcurrentHashMap<ServiceRequestContext, RequestInProgress>()

    /** Number of requests whose responses have not been written. */
    val inProgress: Int get() = requests.size

    /** Makes the server of [builder] report the requests that it ends itself. */
    fun installOn(builder: ServerBuilder) {
        builder.errorHandler(ErrorHandler().orElse(ServerErrorHandler.ofDefault()))
    }

    /** Returns a service that tracks the requests of [service]. */
    fun track(service: HttpService): HttpService = HttpService { context, httpRequest ->
        val request = RequestInProgress()
        context.requestInProgress = request
        requests[context] = request
        context.whenRequestCancelling().thenRun { request.endEarly() }
        context.log().whenComplete().thenAccept { onComplete(context, request, it) }
        service.serve(context, httpRequest)
    }

    private fun onComplete(context: ServiceRequestContext, request: RequestInProgress, log: RequestLog) {
        requests.remove(context)
        if (!request.isEndedEarly && log.responseCause() == null) return
        val status = log.responseHeaders().status().code().takeIf { it > 0 }
        record(status?.toString() ?: "none", request.progress.name)
        logger.atInfo {
            message = "request_ended_early"
            payload = mapOf(
                "method" to context.method().name,
                "path" to context.path(),
                "status" to (status ?: "none"),
                "progress" to request.progress.name,
                "cause" to "${log.responseCause() ?: context.cancellationCause()}",
                "tookMillis" to log.totalDurationNanos() / NANOS_PER_MILLI,
            )
        }
    }

    private fun record(status: String, progress: String) =
        registry.counter("auburn.http.ended.early", "status", status, "progress", progress).increment()

    private inner class ErrorHandler : ServerErrorHandler {
        override fun onServiceException(context: ServiceRequestContext, cause: Throwable): HttpResponse? =
            null.also { context.requestInProgress?.endEarly() }

        override fun onProtocolViolation(
            config: ServiceConfig,
            headers: RequestHeaders?,
            status: HttpStatus,
            description: String?,
            cause: Throwable?,
        ): AggregatedHttpResponse? {
            record(status.codeAsText(), RequestProgress.RECEIVED.name)
            logger.info { "answering $status to a request that can't be read: $description, $cause" }
            return null
        }
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
