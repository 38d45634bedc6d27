package org.auburnlever.fleet

import kotlinx.coroutines.CancellationException
import org.auburnlever.host.GroupRunner
import org.auburnlever.host.HostClock
import org.auburnlever.host.Submission
import org.auburnlever.model.HostName
import org.auburnlever.workload.DecisionLogEntry
import org.auburnlever.workload.FleetAnswer
import org.auburnlever.workload.FleetCall
import org.auburnlever.workload.state.Inadmissible
import org.auburnlever.workload.state.WorkloadCommand
import org.auburnlever.workload.state.WorkloadReply
import org.auburnlever.workload.state.WorkloadState
import org.auburnlever.workload.state.answer

/** Handles calls on the leader; on other replicas, the answer names the leader. */
internal class FleetCallHandler(
    private val runner: GroupRunner<WorkloadState, WorkloadReply>,
    private val leader: WorkloadLeader,
    private val decisions: DecisionLog,
    private val clock: HostClock,
) {
    /** Answers a change once it is durable, and a read from a state at least as recent as [call]. */
    suspend fun handle(call: FleetCall): Submission<FleetAnswer> {
        if (!leader.leads) return notLeader().also { logNotLed(call, it) }
        return when (call) {
            is FleetCall.SubmitJob -> submitJob(call)
            is FleetCall.CancelJob ->
                submit("job_cancel", call.address.path, WorkloadCommand.CancelJob(call.address))
            is FleetCall.ChangeCatalog ->
                submit(
                    "configuration",
                    "${call.catalog.version}",
                    WorkloadCommand.ChangeCatalog(call.catalog, call.document),
                )
            is FleetCall.ReadJob -> read { it.answer(call, clock.nowMillis()) }
            is FleetCall.Evacuate -> {
                val domain = call.failureDomain
                submit("evacuation_ordered", "$domain", WorkloadCommand.Evacuate(domain))
            }
            is FleetCall.EndEvacuation -> {
                val domain = call.failureDomain
                submit("evacuation_ended", "$domain", WorkloadCommand.EndEvacuation(domain))
            }
            FleetCall.ReadEvacuations -> read { FleetAnswer.Evacuations(it.evacuations) }
            FleetCall.ReadCatalog -> read { FleetAnswer.Document(it.document) }
            is FleetCall.ReportWorker -> acknowledge(leader.onReport(call.report))
            is FleetCall.WorkerLeft -> acknowledge(leader.onLeave(call.workerId))
        }
    }

    private suspend fun submitJob(call: FleetCall.SubmitJob): Submission<FleetAnswer> {
        val startMillis = clock.nowMillis()
        var retryAfterMillis: Long? = null
        val result = leader.submit { coordinator ->
            val decision = coordinator?.decideSubmission(runner.view.state, call.address, call.spec, clock.nowMillis())
            retryAfterMillis = decision?.retryAfterMillis
            decision?.command ?: WorkloadCommand.AcceptJob(call.address, call.spec)
        }
        logOutcome("job_submitted", call.address.path.substringAfterLast('/'), result, startMillis)
        val answer = result.toAnswer()
        val refusal = (answer as? Submission.Applied)?.reply as? FleetAnswer.NotAdmitted
        return if (refusal?.reason == Inadmissible.OVERLOADED) {
            Submission.Applied(refusal.copy(retryAfterMillis = refusal.retryAfterMillis ?: retryAfterMillis))
        } else {
            answer
        }
    }

    private suspend fun submit(event: String, id: String, command: WorkloadCommand): Submission<FleetAnswer> {
        val startMillis = clock.nowMillis()
        val name = id.substringAfterLast('/')
        val result = try {
            leader.submit { command }
        } catch (e: CancellationException) {
            logOutcome(event, name, "none before the caller stopped waiting", startMillis)
            throw e
        }
        logOutcome(event, name, result, startMillis)
        return result.toAnswer()
    }

    /** Logs that this host did not accept an order, as it does not lead or has not applied the log yet. */
    private fun logNotLed(call: FleetCall, answer: Submission.NotLeader) {
        val view = runner.view
        val details = mapOf("call" to call.kind, "role" to view.raftRole, "leader" to answer.leader?.value)
        call.order?.let { decisions.write(DecisionLogEntry("order_not_led", it, details), view.term) }
    }

    private fun Submission<WorkloadReply>.toAnswer(): Submission<FleetAnswer> = when (this) {
        is Submission.Applied -> reply.toAnswer()
        is Submission.NotLeader -> this
        is Submission.Refused -> this
        is Submission.Undecided -> this
    }

    /** Logs the outcome of a call, with the version of the catalog (the desired state) that it was decided with. */
    private fun logOutcome(event: String, id: String, outcome: Any, startMillis: Long) {
        val view = runner.view
        val details = mapOf(
            "outcome" to outcome,
            "configuration" to view.state.catalog?.version,
            "tookMillis" to clock.nowMillis() - startMillis,
        )
        decisions.write(DecisionLogEntry(event, id, details), view.term)
    }

    private fun WorkloadReply.toAnswer(): Submission<FleetAnswer> = when (this) {
        is WorkloadReply.NotAdmitted -> {
            val retryAfterMillis = returnMillis?.let { maxOf(0, it - clock.nowMillis()) }
            Submission.Applied(FleetAnswer.NotAdmitted(reason, retryAfterMillis))
        }
        is WorkloadReply.StoredNotAdmitted ->
            Submission.Undecided("the job is stored, but its call is not admitted any more: $reason", conclusive = true)
        WorkloadReply.Done, is WorkloadReply.Assigned, is WorkloadReply.Recorded -> Submission.Applied(FleetAnswer.Done)
    }

    private suspend fun read(answer: (WorkloadState) -> FleetAnswer): Submission<FleetAnswer> =
        when (val result = runner.read().await()) {
            is Submission.Applied -> Submission.Applied(answer(result.reply))
            is Submission.NotLeader -> result
            is Submission.Refused -> result
            is Submission.Undecided -> result
        }

    private fun acknowledge(accepted: Boolean): Submission<FleetAnswer> =
        if (accepted) Submission.Applied(FleetAnswer.Taken(runner.view.replica.host)) else notLeader()

    private fun notLeader(): Submission.NotLeader {
        val view = runner.view
        return Submission.NotLeader(view.leader?.host?.takeIf { it != view.replica.host }, view.term)
    }
}

/** The leader that this answer names; null if it names none. */
val FleetAnswer.leader: HostName? get() = (this as? FleetAnswer.Taken)?.leader
