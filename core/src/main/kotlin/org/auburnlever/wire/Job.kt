package org.auburnlever.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnlever.model.AccountName
import org.auburnlever.model.DomainName
import org.auburnlever.model.ServiceName
import org.auburnlever.model.Shape

/**
 * A job as submitted by its caller.
 *
 * [payload] is passed unchanged to each task. [failureDomain] is where the job must run; if null, the system chooses.
 */
@Serializable
data class JobSpec(
    val service: ServiceName,
    val shape: Shape,
    val estimatedSeconds: Long,
    val urgent: Boolean = false,
    val repeatable: Boolean = true,
    val checkpointable: Boolean = false,
    val payload: String = "",
    val failureDomain: DomainName? = null,
)

/** Phase in the life cycle of a job. */
@Serializable
enum class JobPhase {
    @SerialName("queued")
    QUEUED,

    @SerialName("reserving")
    RESERVING,

    @SerialName("starting")
    STARTING,

    @SerialName("running")
    RUNNING,

    @SerialName("stopping")
    STOPPING,

    @SerialName("done")
    DONE,
}

/**
 * A job as shown to its caller.
 *
 * [results] holds one result for each task, in order, after the job has completed. [reason] says why the job is waiting
 * or how it ended.
 */
@Serializable
data class JobView(
    val jobId: String,
    val account: AccountName,
    val failureDomain: DomainName,
    val phase: JobPhase,
    val attempt: Int,
    val outcome: String? = null,
    val reason: String? = null,
    val results: List<String> = emptyList(),
    val waitedMillis: Long = 0,
    val ranMillis: Long = 0,
)
