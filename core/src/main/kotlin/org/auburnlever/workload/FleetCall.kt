package org.auburnlever.workload

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnlever.model.DomainName
import org.auburnlever.model.HostName
import org.auburnlever.workload.runs.WorkerReport
import org.auburnlever.workload.state.Catalog
import org.auburnlever.workload.state.Inadmissible
import org.auburnlever.workload.state.JobAddress
import org.auburnlever.workload.state.JobPhase
import org.auburnlever.workload.state.JobRecord
import org.auburnlever.workload.state.JobSpec

/** A request of an entry host or a control host to the leader of the workload group. */
@Serializable
sealed interface FleetCall {
    /** Store a job. */
    @Serializable
    @SerialName("submit_job")
    data class SubmitJob(val address: JobAddress, val spec: JobSpec) : FleetCall

    /** Return the status of a job, or the number of pending jobs if [address] names a queue only. */
    @Serializable
    @SerialName("read_job")
    data class ReadJob(val address: JobAddress) : FleetCall

    /** Cancel a job. */
    @Serializable
    @SerialName("cancel_job")
    data class CancelJob(val address: JobAddress) : FleetCall

    /** Activate [catalog] if its version is the highest; [document] is its source text. */
    @Serializable
    @SerialName("change_catalog")
    data class ChangeCatalog(val catalog: Catalog, val document: String) : FleetCall

    /** Return the source text of the active catalog. */
    @Serializable
    @SerialName("read_catalog")
    data object ReadCatalog : FleetCall

    /** Pass on a worker's report. */
    @Serializable
    @SerialName("report_worker")
    data class ReportWorker(val report: WorkerReport) : FleetCall

    /** Pass on that a worker shuts down. */
    @Serializable
    @SerialName("worker_left")
    data class WorkerLeft(val workerId: String) : FleetCall

    /** Start no more tasks in [failureDomain]; answered once that is durable. */
    @Serializable
    @SerialName("evacuate")
    data class Evacuate(val failureDomain: DomainName) : FleetCall

    /** Withdraw the evacuation of [failureDomain]. */
    @Serializable
    @SerialName("end_evacuation")
    data class EndEvacuation(val failureDomain: DomainName) : FleetCall

    /** Return the evacuations in force. */
    @Serializable
    @SerialName("read_evacuations")
    data object ReadEvacuations : FleetCall
}

/** The leader's answer to a [FleetCall]. */
@Serializable
sealed interface FleetAnswer {
    /** The change is applied and durable. */
    @Serializable
    @SerialName("done")
    data object Done : FleetAnswer

    /** The status of a job. */
    @Serializable
    @SerialName("job")
    data class Job(val status: JobStatus) : FleetAnswer

    /** The number of accepted jobs of a queue that have not started. */
    @Serializable
    @SerialName("pending")
    data class Pending(val count: Int) : FleetAnswer

    /** The source text of the active catalog; null without one. */
    @Serializable
    @SerialName("document")
    data class Document(val document: String?) : FleetAnswer

    /** The failure domains that are evacuated, each with the time of the order. */
    @Serializable
    @SerialName("evacuations")
    data class Evacuations(val startMillis: Map<DomainName, Long>) : FleetAnswer

    /** The call was refused and had no effect; it may succeed after [retryAfterMillis], if that is given. */
    @Serializable
    @SerialName("not_admitted")
    data class NotAdmitted(val reason: Inadmissible, val retryAfterMillis: Long? = null) : FleetAnswer

    /** Accepted by [leader], which the caller can address directly from now on. */
    @Serializable
    @SerialName("taken")
    data class Taken(val leader: HostName) : FleetAnswer
}

/** The status of a job as clients see it. */
@Serializable
enum class JobStatus { QUEUED, RUNNING, SUCCEEDED, FAILED, CANCELED }

/** Returns the status that clients see. */
fun JobRecord.status(): JobStatus = when (phase) {
    JobPhase.SUCCEEDED -> JobStatus.SUCCEEDED
    JobPhase.FAILED -> JobStatus.FAILED
    JobPhase.CANCELED -> JobStatus.CANCELED
    JobPhase.ACTIVE -> if (started) JobStatus.RUNNING else JobStatus.QUEUED
}
