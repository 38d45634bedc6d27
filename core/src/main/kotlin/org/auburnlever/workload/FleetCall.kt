package org.auburnlever.workload

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnlever.world.HostName

/** What an entry host or a control host asks the leader of the workload group. */
@Serializable
sealed interface FleetCall {
    /** Store a job. */
    @Serializable
    @SerialName("submit_job")
    data class SubmitJob(val address: JobAddress, val spec: JobSpec) : FleetCall

    /** Tell the state of a job, or the number of jobs that wait if [address] names no job. */
    @Serializable
    @SerialName("read_job")
    data class ReadJob(val address: JobAddress) : FleetCall

    /** Cancel a job. */
    @Serializable
    @SerialName("cancel_job")
    data class CancelJob(val address: JobAddress) : FleetCall

    /** Put a desired state in force. */
    @Serializable
    @SerialName("change_catalog")
    data class ChangeCatalog(val catalog: Catalog, val document: String) : FleetCall

    /** Send the desired state in force. */
    @Serializable
    @SerialName("read_catalog")
    data object ReadCatalog : FleetCall

    /** A worker reports itself. */
    @Serializable
    @SerialName("report_worker")
    data class ReportWorker(val report: WorkerReport) : FleetCall

    /** A worker says that it ends. */
    @Serializable
    @SerialName("worker_left")
    data class WorkerLeft(val workerId: String) : FleetCall
}

/** The leader's answer to a [FleetCall]. */
@Serializable
sealed interface FleetAnswer {
    /** Done and durable. */
    @Serializable
    @SerialName("done")
    data object Done : FleetAnswer

    /** State of a job. */
    @Serializable
    @SerialName("job")
    data class Job(val status: JobStatus) : FleetAnswer

    /** Accepted jobs of a queue that have not started. */
    @Serializable
    @SerialName("pending")
    data class Pending(val count: Int) : FleetAnswer

    /** The desired state as it was sent; null when there is none. */
    @Serializable
    @SerialName("document")
    data class Document(val document: String?) : FleetAnswer

    /** The call is not allowed and had no effect. */
    @Serializable
    @SerialName("not_admitted")
    data class NotAdmitted(val reason: Inadmissible) : FleetAnswer

    /** Taken by [leader], which can be called directly from now on. */
    @Serializable
    @SerialName("taken")
    data class Taken(val leader: HostName) : FleetAnswer
}

/** State of a job as clients see it. */
@Serializable
enum class JobStatus { QUEUED, RUNNING, SUCCEEDED, FAILED, CANCELED }

/** What clients are told of this job. */
fun JobRecord.status(): JobStatus = when (phase) {
    JobPhase.SUCCEEDED -> JobStatus.SUCCEEDED
    JobPhase.FAILED -> JobStatus.FAILED
    JobPhase.CANCELED -> JobStatus.CANCELED
    JobPhase.ACTIVE -> if (started) JobStatus.RUNNING else JobStatus.QUEUED
}
