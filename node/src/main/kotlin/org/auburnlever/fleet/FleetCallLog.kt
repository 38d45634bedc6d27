package org.auburnlever.fleet

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.MeterRegistry
import org.auburnlever.host.LeaderAttempt
import org.auburnlever.host.SubmitError
import org.auburnlever.workload.FleetAnswer
import org.auburnlever.workload.FleetCall
import java.util.concurrent.TimeUnit

private val logger = KotlinLogging.logger {}

/** Measures the calls of this host to the leader, and logs the orders that are not answered or answered late. */
internal class FleetCallLog(private val registry: MeterRegistry) {
    /** Records that [call] ended with [result] after [tookMillis] and the [attempts]. */
    fun record(
        call: FleetCall,
        result: Result<FleetAnswer, SubmitError>,
        attempts: List<LeaderAttempt>,
        tookMillis: Long,
    ) {
        val outcome = result.fold({ "answered" }, { it.outcome() })
        registry.timer("auburn.leader.call", "call", call.kind, "outcome", outcome)
            .record(tookMillis, TimeUnit.MILLISECONDS)
        val order = call.order
        if (order == null || result.isOk && tookMillis < LATE_MILLIS) return
        logger.atInfo {
            message = "leader_call"
            payload = mapOf(
                "id" to order,
                "call" to call.kind,
                "outcome" to result.fold({ outcome }, { "$it" }),
                "tookMillis" to tookMillis,
                "attempts" to attempts.joinToString("; "),
            )
        }
    }

    private fun SubmitError.outcome(): String = when (this) {
        is SubmitError.NotSubmitted -> "not_submitted"
        is SubmitError.Undecided -> "undecided"
    }

    private companion object {
        /** Operators call another host after 1 s without a response. */
        const val LATE_MILLIS = 1_000L
    }
}

/** Name of this kind of call in metrics and logs. */
internal val FleetCall.kind: String
    get() = when (this) {
        is FleetCall.SubmitJob -> "submit"
        is FleetCall.ReadJob -> "read_job"
        is FleetCall.CancelJob -> "cancel"
        is FleetCall.ChangeCatalog -> "configuration"
        FleetCall.ReadCatalog -> "read_configuration"
        is FleetCall.ReportWorker -> "report"
        is FleetCall.WorkerLeft -> "departure"
        is FleetCall.Evacuate -> "evacuation"
        is FleetCall.EndEvacuation -> "evacuation_end"
        FleetCall.ReadEvacuations -> "read_evacuations"
    }

/**
 * What an order concerns: the version of the desired state, the failure domain, the job or the worker.
 *
 * Null for reads, which change nothing, and for submissions and reports, which are too frequent to be logged one by one
 * on each host.
 */
internal val FleetCall.order: String?
    get() = when (this) {
        is FleetCall.ChangeCatalog -> "${catalog.version}"
        is FleetCall.Evacuate -> failureDomain.value
        is FleetCall.EndEvacuation -> failureDomain.value
        is FleetCall.CancelJob -> address.path.substringAfterLast('/')
        is FleetCall.WorkerLeft -> workerId
        is FleetCall.SubmitJob, is FleetCall.ReadJob, is FleetCall.ReportWorker -> null
        FleetCall.ReadCatalog, FleetCall.ReadEvacuations -> null
    }
