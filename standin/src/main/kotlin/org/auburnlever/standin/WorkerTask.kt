package org.auburnlever.standin

import kotlinx.serialization.Serializable
import org.auburnlever.wire.TaskOrder
import org.auburnlever.wire.TaskReport
import org.auburnlever.wire.TaskStatus

/** Identifies a task on a worker. */
internal data class TaskId(val jobId: String, val taskIndex: Int)

/**
 * Task that a worker holds, or held until it ended. All times are on the worker's monotonic clock.
 *
 * [payload] is null if it is unknown or could not be decoded. [stopsAtMillis] is the time at which a stop order takes
 * effect, null without one.
 */
internal data class WorkerTask(
    val order: TaskOrder.Reserve,
    val payload: TaskPayload?,
    val status: TaskStatus,
    val startedAtMillis: Long = 0,
    val endsAtMillis: Long = 0,
    val stopsAtMillis: Long? = null,
    val milliCores: Long = order.cores * MILLI_CORES_PER_CORE,
    val error: String? = null,
) {
    val id: TaskId get() = TaskId(order.jobId, order.taskIndex)

    /** True while the task occupies its accelerators. */
    val active: Boolean get() = status == TaskStatus.RESERVED || status == TaskStatus.RUNNING

    /** Returns the task as it runs from [nowMillis] on. */
    fun started(nowMillis: Long): WorkerTask {
        val runMillis =
            payload?.let { if (order.fromCheckpoint) it.resumedRunMillis ?: it.runMillis else it.runMillis } ?: 0
        return copy(status = TaskStatus.RUNNING, startedAtMillis = nowMillis, endsAtMillis = nowMillis + runMillis)
    }

    /** Returns the task with its CPU limited to [limitMilliCores]; the rest of its run takes longer in proportion. */
    fun throttled(limitMilliCores: Long, nowMillis: Long): WorkerTask {
        if (limitMilliCores <= 0 || status != TaskStatus.RUNNING) return copy(milliCores = maxOf(limitMilliCores, 1))
        val remainingMillis = (endsAtMillis - nowMillis).coerceAtLeast(0) * milliCores / limitMilliCores
        return copy(milliCores = limitMilliCores, endsAtMillis = nowMillis + remainingMillis)
    }

    /** Returns the report of the task; it shows usage only from [usageLagMillis] after the start. */
    fun report(nowMillis: Long, usageLagMillis: Long): TaskReport {
        val ageMillis = nowMillis - startedAtMillis
        val running = status == TaskStatus.RUNNING
        val usageVisible = running && ageMillis >= usageLagMillis
        return TaskReport(
            jobId = order.jobId,
            taskIndex = order.taskIndex,
            token = order.token,
            status = status,
            usedMemoryMiB = if (usageVisible) payload?.usedMemoryMiB ?: order.memoryMiB else 0,
            usedMilliCores = if (usageVisible) payload?.usedMilliCores ?: milliCores else 0,
            checkpointAgeMillis = payload?.checkpointEveryMillis
                ?.takeIf { running && it > 0 && ageMillis >= it }
                ?.let { ageMillis % it },
            result = payload?.result?.takeIf { status == TaskStatus.COMPLETED },
            error = error,
        )
    }
}

/**
 * Change of a task's status on a stand-in worker.
 *
 * [atMillis] is wall-clock time, so that tests can compare the events of several processes.
 */
@Serializable
data class TaskEvent(
    val atMillis: Long,
    val worker: String,
    val jobId: String,
    val taskIndex: Int,
    val token: Long,
    val status: TaskStatus,
    val accelerators: List<Int>,
    val reason: String,
)

internal const val MILLI_CORES_PER_CORE = 1_000L
