package org.auburnlever.fleet

import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.MeterRegistry
import org.auburnlever.workload.DecisionLogEntry
import org.auburnlever.workload.runs.WorkerOrder
import java.util.concurrent.TimeUnit

private val logger = KotlinLogging.logger {}

/** Logs and counts the decisions of the leader, and measures how long workers take to answer orders. */
internal class DecisionLog(private val registry: MeterRegistry) {
    /** Gauges of the steps that wait. */
    val waiting = WaitingGauges(registry)

    /** Logs [entry], a decision of the leader in [term]. */
    fun write(entry: DecisionLogEntry, term: Long) {
        registry.counter("auburn.decisions", "event", entry.event).increment()
        logger.atInfo {
            message = entry.event
            payload = entry.details + mapOf("id" to entry.id, "term" to term)
        }
    }

    /** Records that a decision of the leader failed with [cause] and had no effect. */
    fun recordFailure(cause: RuntimeException) {
        registry.counter("auburn.decision.failures").increment()
        logger.error(cause) { "a decision failed; the leader learns the state of its workers anew" }
    }

    /** Records that the worker answered [order] after [tookMillis]. */
    fun recordOrderDuration(order: WorkerOrder, tookMillis: Long) {
        val kind = when (order) {
            is WorkerOrder.Start -> "start"
            is WorkerOrder.Stop -> "stop"
            is WorkerOrder.Pace -> "pace"
            is WorkerOrder.Poll -> "look"
        }
        registry.timer("auburn.worker.order", "kind", kind).record(tookMillis, TimeUnit.MILLISECONDS)
    }
}
