package org.auburnlever.ledger

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnlever.model.AccountName
import org.auburnlever.model.DomainName
import org.auburnlever.model.HostName
import org.auburnlever.model.ServiceName
import org.auburnlever.model.WorkerName
import org.auburnlever.wire.JobSpec
import org.auburnlever.wire.JobView
import org.auburnlever.wire.Outcome
import org.auburnlever.wire.TaskReport
import org.auburnlever.wire.WorkerHeartbeat

/** A ledger command with the time at which the leader received it; ledger time never goes back. */
@Serializable
data class StampedCommand(val nowMillis: Long, val command: LedgerCommand)

/** Identity of a job or non-repeatable request: the caller's key within its account. */
@Serializable
data class RequestKey(val account: AccountName, val key: String)

/** Command of a failure domain's ledger. */
@Serializable
sealed interface LedgerCommand {
    /**
     * Claims the exclusive right to run the request or job of [key]. [bodySha256Hex] ties the key to its content. A
     * resend carries a new [claimId]; only the holder of the granted claim id may record the outcome.
     */
    @Serializable
    @SerialName("claim")
    data class Claim(
        val key: RequestKey,
        val bodySha256Hex: String,
        val purpose: ClaimPurpose,
        val claimId: String,
        val entryHost: HostName,
        val timeoutMillis: Long,
    ) : LedgerCommand

    /** Records how the claimed request ended. */
    @Serializable
    @SerialName("record_outcome")
    data class RecordOutcome(val key: RequestKey, val claimId: String, val outcome: Outcome) : LedgerCommand

    /** Adds a job; idempotent by [key]. */
    @Serializable
    @SerialName("submit_job")
    data class SubmitJob(
        val jobId: String,
        val key: RequestKey,
        val bodySha256Hex: String,
        val spec: JobSpec,
    ) : LedgerCommand

    /** Cancels a job of [account] in any phase. */
    @Serializable
    @SerialName("cancel_job")
    data class CancelJob(val jobId: String, val account: AccountName) : LedgerCommand

    /** A worker announced itself, or its announcement changed. */
    @Serializable
    @SerialName("worker_seen")
    data class WorkerSeen(val heartbeat: WorkerHeartbeat) : LedgerCommand

    /** The lease of the worker's epoch [epochMillis] ended. */
    @Serializable
    @SerialName("worker_lost")
    data class WorkerLost(val worker: WorkerName, val epochMillis: Long) : LedgerCommand

    /** Tasks of a worker changed their status. */
    @Serializable
    @SerialName("tasks_reported")
    data class TasksReported(
        val worker: WorkerName,
        val epochMillis: Long,
        val reports: List<TaskReport>,
    ) : LedgerCommand

    /** Applies decisions of the leader's scheduler, such as to place, stop or end a job. */
    @Serializable
    @SerialName("schedule")
    data class Schedule(val actions: List<ScheduleAction>) : LedgerCommand

    /** Processes due deadlines of claims, gangs and retention. */
    @Serializable
    @SerialName("time_passed")
    data object TimePassed : LedgerCommand
}

/** What a claim is for. */
@Serializable
sealed interface ClaimPurpose {
    /** A non-repeatable request to [service]. */
    @Serializable
    @SerialName("request")
    data class Request(val service: ServiceName) : ClaimPurpose

    /** A job that runs in [failureDomain]. */
    @Serializable
    @SerialName("job")
    data class Job(val jobId: String, val failureDomain: DomainName) : ClaimPurpose
}

/** Reply to a [LedgerCommand]. */
@Serializable
sealed interface LedgerReply {
    /** The caller holds the claim and may run the request now. */
    @Serializable
    @SerialName("claim_granted")
    data class ClaimGranted(val attempt: Int) : LedgerReply

    /** The key was claimed before; [outcome] is null while the request is in progress. */
    @Serializable
    @SerialName("claim_exists")
    data class ClaimExists(val purpose: ClaimPurpose, val outcome: Outcome?) : LedgerReply

    /** The submitted or cancelled job as its caller sees it. */
    @Serializable
    @SerialName("job")
    data class Job(val view: JobView) : LedgerReply

    /** The command was processed; there is nothing else to reply. */
    @Serializable
    @SerialName("done")
    data object Done : LedgerReply

    /** The command has no effect; [refusal] says whether the work was or may have been run. */
    @Serializable
    @SerialName("rejected")
    data class Rejected(val refusal: Outcome) : LedgerReply
}
