package org.auburnlever.entry

import io.micrometer.core.instrument.MeterRegistry
import org.auburnlever.model.ServiceName
import org.auburnlever.wire.Outcome
import java.util.concurrent.TimeUnit

/** Records the counters and timers of request routing. */
class RoutingMetrics(private val registry: MeterRegistry) {
    /** Counts a request that ended after [elapsedMillis]. */
    fun requestEnded(service: ServiceName, outcome: Outcome, elapsedMillis: Long) {
        registry.timer("auburn.requests", "service", service.value, "outcome", outcome.name)
            .record(elapsedMillis, TimeUnit.MILLISECONDS)
    }

    /** Counts an attempt at an endpoint by its result. */
    fun attemptEnded(service: ServiceName, result: AttemptResult) {
        registry.counter("auburn.attempts", "service", service.value, "result", result.label).increment()
    }

    /** Counts a retry that the retry budget allowed or denied. */
    fun retry(allowed: Boolean) = registry.counter("auburn.retries", "allowed", allowed.toString()).increment()

    /** Counts a request that the queue refused, by the reason. */
    fun queueRefused(service: ServiceName, result: SlotResult) {
        val reason = if (result is SlotResult.Full) "full" else "deadline"
        registry.counter("auburn.queue.refused", "service", service.value, "reason", reason).increment()
    }

    /** Counts a request that was forwarded to another failure domain, and its bytes between regions. */
    fun forwarded(result: String, crossRegionBytes: Long) {
        registry.counter("auburn.forwarded", "result", result).increment()
        registry.counter("auburn.cross.region.bytes").increment(crossRegionBytes.toDouble())
    }

    /** Counts a claim by the ledger's answer. */
    fun claim(answer: String) = registry.counter("auburn.claims", "answer", answer).increment()

    /** Counts an outcome that was recorded or given up. */
    fun recorded(result: String) = registry.counter("auburn.claims.recorded", "result", result).increment()

    /** Counts an announcement that was accepted or rejected. */
    fun announcement(accepted: Boolean) =
        registry.counter("auburn.announcements", "accepted", accepted.toString()).increment()
}

/** Name of the outcome in the HTTP interface. */
internal val Outcome.name: String
    get() = when (this) {
        is Outcome.Completed -> "completed"
        is Outcome.Refused -> "refused"
        is Outcome.Failed -> "failed"
        is Outcome.Unknown -> "unknown"
    }

private val AttemptResult.label: String
    get() = when (this) {
        is AttemptResult.Answered -> "answered"
        is AttemptResult.Error -> "error"
        is AttemptResult.NotBegun -> "not_begun"
        is AttemptResult.Broken -> reason.name.lowercase()
        is AttemptResult.TimedOut -> "silent"
    }
