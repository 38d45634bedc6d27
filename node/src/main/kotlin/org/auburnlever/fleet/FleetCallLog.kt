package org.auburnlever.fleet

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.MeterRegistry
import org.auburnlever.host.LeaderAttempt
import org.auburnlever.host.SubmitError
import org.auburnlever.workload.FleetAnswer
import org.auburnlever.workload.FleetCall
import org.auburnlever.workload.state.Inadmissible
import java.util.concurrent.TimeUnit

private val logger = KotlinLogging.logger {}

/**
 * Measures the calls of this host to the leader, and logs the orders that are not answered or answered late, and the
 * submissions that are rejected or left undecided.
 */
internal class FleetCallLog(private val registry: MeterRegistry) {
    private val submissionLines = LogLimit(SUBMISSION_LINES_PER_SECOND)

    /** Records that [call] ended with [result] at [nowMillis] after [tookMillis] and the [attempts]. */
    fun record(
        call: FleetCall,
        result: Result<FleetAnswer, SubmitError>,
        attempts: List<LeaderAttempt>,
        tookMillis: Long,
        nowMillis: Long,
    ) {
        val outcome = result.fold({ "answered" }, { it.outcome() })
        registry.timer("auburn.leader.call", "call", call.kind, "outcome", outcome)
            .record(tookMillis, TimeUnit.MILLISECONDS)
        val refusal = call.refusalIn(result)
        refusal?.let { count(call, it) }
        val leftOut = when {
            call is FleetCall.SubmitJob ->
                if (isNotable(result, refusal, attempts)) submissionLines.admit(nowMillis) else null
            call.order == null || result.isOk && tookMillis < LATE_MILLIS -> null
            else -> 0
        } ?: return
        logger.atInfo {
            message = "leader_call"
            payload = mapOf(
                "id" to call.subject,
                "call" to call.kind,
                "outcome" to result.fold({ refusal?.reason ?: outcome }, { "$it" }),
                "evidence" to refusal?.evidence?.name,
                "tookMillis" to tookMillis,
                "attempts" to attempts.joinToString("; "),
                "leftOut" to leftOut,
            )
        }
    }

    private fun count(call: FleetCall, refusal: ReportedRefusal) {
        val evidence = refusal.evidence.name
        registry.counter("auburn.leader.refusals", "call", call.kind, "evidence", evidence, "reason", refusal.reason)
            .increment()
    }

    /** Returns whether a submission is logged: not if it was accepted, or turned away at the first attempt. */
    private fun isNotable(
        result: Result<FleetAnswer, SubmitError>,
        refusal: ReportedRefusal?,
        attempts: List<LeaderAttempt>,
    ): Boolean {
        val turnedAwayAtOnce = refusal?.reason == Inadmissible.OVERLOADED.name && attempts.sumOf { it.count } <= 1
        return (result.isErr || refusal != null) && !turnedAwayAtOnce
    }

    private fun SubmitError.outcome(): String = when (this) {
        is SubmitError.NotSubmitted -> "not_submitted"
        is SubmitError.Undecided -> "undecided"
    }

    private companion object {
        /** Operators call another host after 1 s without a response. */
        const val LATE_MILLIS = 1_000L

        /** Without a leader, an entry host may refuse hundreds of submissions a second. */
        const val SUBMISSION_LINES_PER_SECOND = 20
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

/** What the call concerns, for a log line; null for reads. */
private val FleetCall.subject: String?
    get() = if (this is FleetCall.SubmitJob) address.path.substringAfterLast('/') else order

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
