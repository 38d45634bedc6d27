package org.auburnlever.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnlever.model.DomainName
import org.auburnlever.model.RackName
import org.auburnlever.model.WorkerName

/**
 * Report of a worker about itself and its tasks, sent at least once a second.
 *
 * [epochMillis] is the start time of the worker's process by its own clock; a new epoch means that all earlier tasks
 * are gone.
 *
 * @property basedOn sequence of an answered heartbeat that this one is an update of: [tasks] then lists only tasks
 * whose reports changed since, apart from a growing checkpoint age, and [dropped] the tasks that the worker no longer
 * holds. Null if [tasks] is complete.
 */
@Serializable
data class WorkerHeartbeat(
    val worker: WorkerName,
    val failureDomain: DomainName,
    val rack: RackName,
    val positionInRack: Int,
    val epochMillis: Long,
    val sequence: Long,
    val acceleratorCount: Int,
    val cores: Int,
    val memoryMiB: Long,
    val tasks: List<TaskReport> = emptyList(),
    val draining: Boolean = false,
    val basedOn: Long? = null,
    val dropped: List<DroppedTask> = emptyList(),
)

/** A task that a worker no longer holds, with the fencing token that it had. */
@Serializable
data class DroppedTask(val jobId: String, val taskIndex: Int, val token: Long)

/** Status of a task as reported by its worker. */
@Serializable
enum class TaskStatus {
    @SerialName("reserved")
    RESERVED,

    @SerialName("running")
    RUNNING,

    @SerialName("completed")
    COMPLETED,

    @SerialName("failed")
    FAILED,

    /** Stopped by an order or because the worker's lease expired. */
    @SerialName("stopped")
    STOPPED,
}

/**
 * One task in a [WorkerHeartbeat].
 *
 * [token] is the fencing token of the order that created the task. [result] is set if the task completed, [error] if it
 * failed. [checkpointAgeMillis] is the age of the newest checkpoint, null without one.
 */
@Serializable
data class TaskReport(
    val jobId: String,
    val taskIndex: Int,
    val token: Long,
    val status: TaskStatus,
    val usedMemoryMiB: Long = 0,
    val usedMilliCores: Long = 0,
    val checkpointAgeMillis: Long? = null,
    val result: String? = null,
    val error: String? = null,
)

/**
 * Answer to a [WorkerHeartbeat]: the lease, counted from when the worker sent the heartbeat, and orders.
 *
 * [completeWanted] asks for a heartbeat with all tasks, because the leader does not know the one that this heartbeat
 * was based on. Such an answer renews no lease, since the leader did not apply the heartbeat.
 */
@Serializable
data class HeartbeatReply(val leaseMillis: Long, val orders: List<TaskOrder>, val completeWanted: Boolean = false)

/** Order to a worker. Workers ignore orders with a fencing token below the newest one that they saw for the job. */
@Serializable
sealed interface TaskOrder {
    val jobId: String
    val taskIndex: Int
    val token: Long

    /** Reserves the resources of a task without running it; the worker reports the task as reserved. */
    @Serializable
    @SerialName("reserve")
    data class Reserve(
        override val jobId: String,
        override val taskIndex: Int,
        override val token: Long,
        val taskCount: Int,
        val service: String,
        val accelerators: List<Int>,
        val cores: Int,
        val memoryMiB: Long,
        val payload: String,
        val fromCheckpoint: Boolean,
    ) : TaskOrder

    /** Starts a reserved task. */
    @Serializable
    @SerialName("start")
    data class Start(
        override val jobId: String,
        override val taskIndex: Int,
        override val token: Long,
    ) : TaskOrder

    /**
     * Stops the task within [graceMillis], after a checkpoint if possible. The worker releases the resources and
     * reports the task as stopped.
     */
    @Serializable
    @SerialName("stop")
    data class Stop(
        override val jobId: String,
        override val taskIndex: Int,
        override val token: Long,
        val graceMillis: Long,
    ) : TaskOrder

    /** Limits the CPU use of the task to [milliCores]. */
    @Serializable
    @SerialName("throttle")
    data class Throttle(
        override val jobId: String,
        override val taskIndex: Int,
        override val token: Long,
        val milliCores: Long,
    ) : TaskOrder

    /** Says that the final report of the task is recorded, so that the worker need not repeat it. */
    @Serializable
    @SerialName("forget")
    data class Forget(
        override val jobId: String,
        override val taskIndex: Int,
        override val token: Long,
    ) : TaskOrder
}
