package org.auburnlever.host

import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.MeterRegistry
import org.auburnlever.ledger.LedgerEvent

private val logger = KotlinLogging.logger {}

/** Counts the events of ledgers, and logs those about workers, ended jobs and guarantees. */
internal class LedgerMetrics(private val registry: MeterRegistry) {
    fun record(events: List<LedgerEvent>) = events.forEach { record(it) }

    private fun record(event: LedgerEvent) {
        when (event) {
            is LedgerEvent.ClaimGranted -> count("claims.granted")
            is LedgerEvent.ClaimEnded -> count(if (event.timedOut) "claims.timed.out" else "claims.ended")
            is LedgerEvent.JobMoved -> count("jobs.moved", "to", event.to.name.lowercase())
            is LedgerEvent.JobEnded -> {
                count("jobs.ended")
                logger.info { "job ${event.jobId} of ${event.account} ended" }
            }

            is LedgerEvent.WorkerChanged -> {
                count("workers.changed", "kind", event.kind.name.lowercase())
                logger.info { "worker ${event.worker}: ${event.reason}" }
            }

            is LedgerEvent.GuaranteeChanged -> {
                count("guarantees.changed", "at.risk", event.atRisk.toString())
                val state = if (event.atRisk) "is at risk: it has no placement" else "has a placement again"
                logger.warn { "guarantee ${event.id.index} of account ${event.id.account} $state" }
            }

            is LedgerEvent.ActionIgnored -> count("actions.ignored")
        }
    }

    private fun count(name: String, vararg tags: String) = registry.counter("auburn.ledger.$name", *tags).increment()
}
