package org.auburnlever.entry

import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.common.ShuttingDownException
import com.linecorp.armeria.common.logging.RequestLog
import com.linecorp.armeria.common.util.Exceptions
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServerBuilder
import com.linecorp.armeria.server.ServerErrorHandler
import com.linecorp.armeria.server.ServiceConfig
import com.linecorp.armeria.server.ServiceRequestContext
import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.MeterRegistry
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

private val logger = KotlinLogging.logger {}

/**
 * Tracks the requests of a server until their responses have been written, and decides what is answered for those that
 * the server ends in place of their service: at a timeout, an exception or its own close.
 *
 * The server knows nothing about a request, so that a status that it chooses itself may promise something untrue.
 * [respond] returns the response for a request with the given headers that has ended early.
 */
class RequestTracker(
    private val registry: MeterRegistry,
    private val respond: (RequestHeaders, EarlyEnd) -> HttpResponse,
) {
    private val requests = ConcurrentHashMap<ServiceRequestContext, RequestInProgress>()
    private val lastNumber = AtomicLong()

    @Volatile
    private var phase: ShutdownPhase? = null

    /** Number of requests whose responses have not been written. */
    val inProgress: Int get() = requests.size

    private val acceptsRequests get() = phase.let { it == null || it == ShutdownPhase.LEAVING }

    /** Whether the shutdown has begun. */
    val isShuttingDown: Boolean get() = phase != null

    /** Makes the server of [builder] answer for requests that it ends itself as this tracker decides. */
    fun installOn(builder: ServerBuilder) {
        builder.errorHandler(ErrorHandler().orElse(ServerErrorHandler.ofDefault()))
    }

    /** Returns a service that tracks the requests of [service]. */
    fun track(service: HttpService): HttpService = HttpService { context, httpRequest ->
        val request = RequestInProgress(lastNumber.incrementAndGet()) { acceptsRequests }
        context.requestInProgress = request
        requests[context] = request
        context.whenRequestCancelling().thenRun { request.endEarly() }
        context.log().whenComplete().thenAccept { onComplete(context, request, it) }
        closingConnection(context, request, service.serve(context, httpRequest))
    }

    /** Lets each response close its connection from now on. */
    fun beginShutdown() = enter(ShutdownPhase.LEAVING)

    /**
     * Takes the server through the phases of its shutdown as [schedule] decides, and returns when it can close. Waits
     * between its looks with [pause], and reads the time with [nowMillis].
     */
    fun drain(schedule: ShutdownSchedule, nowMillis: () -> Long, pause: () -> Unit) {
        var current = ShutdownPhase.LEAVING
        while (current != ShutdownPhase.CLOSING) {
            enter(current)
            pause()
            current = schedule.next(current, nowMillis(), inProgress)
        }
        enter(current)
    }

    private fun enter(next: ShutdownPhase) {
        if (phase == next) return
        phase = next
        logger.info { "shutdown phase $next; $inProgress requests in progress" }
        if (next == ShutdownPhase.ENDING) requests.keys.forEach { it.cancel(ShuttingDownException.get()) }
    }

    /** Returns [response], which closes the connection if the server shuts down. */
    private fun closingConnection(
        context: ServiceRequestContext,
        request: RequestInProgress,
        response: HttpResponse,
    ): HttpResponse = response.mapHeaders { headers ->
        request.isAnswered = true
        if (isShuttingDown && isLast(context, request)) {
            headers.withMutations { it.set(HttpHeaderNames.CONNECTION, "close") }
        } else {
            headers
        }
    }

    /** Of pipelined requests, only the newest may close the connection, and only after the others have responses. */
    private fun isLast(context: ServiceRequestContext, request: RequestInProgress): Boolean =
        requests.none { (other, it) ->
            val isBefore = it.number <= request.number && it.isAnswered
            !isBefore && other.remoteAddress() == context.remoteAddress()
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
            context.requestInProgress?.let { endEarly(context, it, Exceptions.peel(cause)) }

        private fun endEarly(
            context: ServiceRequestContext,
            request: RequestInProgress,
            reason: Throwable,
        ): HttpResponse? {
            val isHandedOn = request.endEarly() == RequestProgress.HANDED_ON
            if (!isHandedOn && reason.hasStatus()) return null
            val end = EarlyEnd(reason.toEarlyEndCause(), isHandedOn, "$reason")
            return closingConnection(context, request, respond(context.request().headers(), end))
        }

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
