package org.auburnlever.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnlever.world.DomainName
import org.auburnlever.world.RackName
import org.auburnlever.world.WorkerName

/**
 * What a worker reports at least each second: itself and its tasks.
 *
 * [epochMillis] is the worker's start by its own clock; a new epoch means that all earlier tasks are gone.
 *
 * @property basedOn sequence of an answered heartbeat; then [tasks] lists only tasks whose reports changed since that
 * one, apart from a growing checkpoint age, and [dropped] the tasks that it no longer holds. Null for a complete list.
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

/** A placement of a task that a worker has forgotten. */
@Serializable
data class DroppedTask(val jobId: String, val taskIndex: Int, val token: Long)

/** State of a task as its worker sees it. */
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

    /** Stopped by order or because the lease ended. */
    @SerialName("stopped")
    STOPPED,
}

/**
 * One task in a [WorkerHeartbeat].
 *
 * [token] is the fencing token of the order that created the task. [result] is set when completed, [error] when
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
 * Answer to a [WorkerHeartbeat]: the lease, counted from the moment the worker sent the heartbeat, and orders.
 *
 * [completeWanted] asks for a heartbeat with all tasks: the leader does not know the one that this was based on. It
 * renews no lease, since nothing was taken from the heartbeat.
 */
@Serializable
data class HeartbeatReply(val leaseMillis: Long, val orders: List<TaskOrder>, val completeWanted: Boolean = false)

/** What a worker is told to do. Orders with a token below the newest one seen for the job are ignored. */
@Serializable
sealed interface TaskOrder {
    val jobId: String
    val taskIndex: Int
    val token: Long

    /** Hold the resources and report the task as reserved; do not run it yet. */
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

    /** Run a reserved task. */
    @Serializable
    @SerialName("start")
    data class Start(
        override val jobId: String,
        override val taskIndex: Int,
        override val token: Long,
    ) : TaskOrder

    /** Checkpoint if possible, stop within [graceMillis], release the resources and report the task as stopped. */
    @Serializable
    @SerialName("stop")
    data class Stop(
        override val jobId: String,
        override val taskIndex: Int,
        override val token: Long,
        val graceMillis: Long,
    ) : TaskOrder

    /** Limit the task to [milliCores]. */
    @Serializable
    @SerialName("throttle")
    data class Throttle(
        override val jobId: String,
        override val taskIndex: Int,
        override val token: Long,
        val milliCores: Long,
    ) : TaskOrder

    /** The final report of the task is recorded; the worker need not repeat it. */
    @Serializable
    @SerialName("forget")
    data class Forget(
        override val jobId: String,
        override val taskIndex: Int,
        override val token: Long,
    ) : TaskOrder
}
