package org.auburnlever.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnlever.world.AccountName
import org.auburnlever.world.DomainName
import org.auburnlever.world.ServiceName
import org.auburnlever.world.Shape

/**
 * A job as its caller submits it.
 *
 * [payload] is handed to each task as it is. [failureDomain] is where the job must run; when null the system chooses.
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

/** Where a job stands. */
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
 * A job as its caller reads it.
 *
 * [results] holds one result for each task, in order, once the job completed. [reason] says why it waits or ended.
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
