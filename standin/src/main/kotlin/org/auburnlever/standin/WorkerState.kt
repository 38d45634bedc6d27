package org.auburnlever.standin

import kotlinx.serialization.Serializable
import org.auburnlever.model.DomainName
import org.auburnlever.model.RackName
import org.auburnlever.model.WorkerName
import org.auburnlever.wire.TaskReport
import org.auburnlever.wire.TaskStatus
import org.auburnlever.wire.WorkerHeartbeat

/**
 * Identity, location and capacity of a stand-in worker.
 *
 * Usage of a task is reported [usageLagMillis] after its start. A checkpoint takes [checkpointMillis].
 */
internal data class WorkerSettings(
    val name: String,
    val failureDomain: String,
    val rack: String,
    val positionInRack: Int,
    val accelerators: Int,
    val cores: Int,
    val memoryMiB: Long,
    val usageLagMillis: Long,
    val checkpointMillis: Long,
)

/**
 * Deviations of a stand-in worker from normal behaviour; set on the command line or through the control server.
 *
 * With [failAll] it fails every task at its start, with [silent] it sends no heartbeats, with [ignoreOrders] it drops
 * every order, and with [draining] it reports that it is draining.
 */
@Serializable
data class WorkerBehaviour(
    val failAll: Boolean = false,
    val silent: Boolean = false,
    val ignoreOrders: Boolean = false,
    val draining: Boolean = false,
)

/**
 * State of a stand-in worker, an immutable value that [WorkerStateMachine] and [WorkerOrders] advance.
 *
 * [leaseEndsMillis] is null before the first lease and after a lease ended. [newestTokens] holds the newest fencing
 * token seen for each job. [answeredSequence] is the newest heartbeat that was answered.
 */
internal data class WorkerState(
    val settings: WorkerSettings,
    val epochMillis: Long,
    val behaviour: WorkerBehaviour = WorkerBehaviour(),
    val sequence: Long = 0,
    val leaseEndsMillis: Long? = null,
    val answeredSequence: Long = 0,
    val tasks: Map<TaskId, WorkerTask> = emptyMap(),
    val newestTokens: Map<String, Long> = emptyMap(),
    val deltaEncoder: HeartbeatDeltaEncoder = HeartbeatDeltaEncoder(),
) {
    /** Says whether the worker may run tasks at [nowMillis]. */
    fun holdsLease(nowMillis: Long): Boolean = leaseEndsMillis != null && nowMillis < leaseEndsMillis

    /** Extends the lease to [leaseEnds], unless it is longer already; heartbeat [sequence] counts as answered. */
    fun renewLease(leaseEnds: Long, sequence: Long): WorkerState = copy(
        leaseEndsMillis = maxOf(leaseEnds, leaseEndsMillis ?: leaseEnds),
        answeredSequence = maxOf(answeredSequence, sequence),
    )

    /** Adds [task] or replaces its earlier version. */
    fun withTask(task: WorkerTask): WorkerState = copy(tasks = tasks + (task.id to task))

    /** Returns the reports of all tasks, including ended ones until a forget order removes them. */
    fun reports(nowMillis: Long): List<TaskReport> =
        tasks.values.map { it.report(nowMillis, settings.usageLagMillis) }

    /** Returns the status of each task; a heartbeat is sent without delay when it changes. */
    fun statuses(): Map<TaskId, TaskStatus> = tasks.mapValues { it.value.status }

    /** Returns the state with the next sequence number, and the heartbeat with that number. */
    fun nextHeartbeat(nowMillis: Long): Pair<WorkerState, WorkerHeartbeat> {
        val (nextEncoder, heartbeat) = deltaEncoder.encode(completeHeartbeat(nowMillis), nowMillis)
        return copy(sequence = heartbeat.sequence, deltaEncoder = nextEncoder) to heartbeat
    }

    private fun completeHeartbeat(nowMillis: Long) = WorkerHeartbeat(
        worker = WorkerName(settings.name),
        failureDomain = DomainName(settings.failureDomain),
        rack = RackName(settings.rack),
        positionInRack = settings.positionInRack,
        epochMillis = epochMillis,
        sequence = sequence + 1,
        acceleratorCount = settings.accelerators,
        cores = settings.cores,
        memoryMiB = settings.memoryMiB,
        tasks = reports(nowMillis),
        draining = behaviour.draining,
    )
}

/** State after an input (time, an answer or an order), and the status changes that the input caused. */
internal data class WorkerStep(val state: WorkerState, val changes: List<TaskChange> = emptyList()) {
    /** Applies [input] to the state and appends the changes that it causes. */
    fun then(input: (WorkerState) -> WorkerStep): WorkerStep {
        val next = input(state)
        return WorkerStep(next.state, changes + next.changes)
    }
}

/** Task after a change of its status, and the reason of the change. */
internal data class TaskChange(val task: WorkerTask, val reason: String)

/** Stores [task], whose status changed for [reason], and records the change. */
internal fun WorkerState.changeTask(task: WorkerTask, reason: String): WorkerStep =
    WorkerStep(withTask(task), listOf(TaskChange(task, reason)))
