package org.auburnlever.ledger

import org.auburnlever.model.Shape
import org.auburnlever.wire.JobPhase
import org.auburnlever.wire.TaskOrder
import org.auburnlever.wire.TaskReport
import org.auburnlever.wire.TaskStatus
import org.auburnlever.wire.WorkerHeartbeat

private const val MILLI_CORES_PER_CORE = 1_000L

/** A task is throttled when it uses more than 110% of what it declared; below that the measurement is too coarse. */
private const val OVERUSE_PERCENT = 110
private const val PERCENT = 100
private const val ORPHAN_GRACE_MILLIS = 2_000L

/**
 * Returns the orders that bring a worker from the task states that it reports to those that the ledger requires.
 *
 * The result depends only on the arguments, so orders whose reply was lost are sent again with the next heartbeat. A
 * worker that the ledger does not know in this epoch gets no orders until its announcement is applied.
 *
 * Throttle rule: over 110% of the declared cores, the task is limited to the declared cores; over 110% of the declared
 * memory, to half of the declared cores, which slows its growth.
 */
fun ordersFor(state: LedgerState, heartbeat: WorkerHeartbeat): List<TaskOrder> {
    val worker = state.workers[heartbeat.worker]
    return if (worker == null || worker.lost || worker.epochMillis != heartbeat.epochMillis) {
        emptyList()
    } else {
        val reports = heartbeat.tasks.associateBy { ReportedTask(it.jobId, it.taskIndex, it.token) }
        worker.held.mapNotNull { state.orderForHeld(it, reports) } +
            heartbeat.tasks.mapNotNull { state.orderForOrphan(worker, it) }
    }
}

private data class ReportedTask(val jobId: String, val taskIndex: Int, val token: Long)

private fun LedgerState.orderForHeld(ref: TaskRef, reports: Map<ReportedTask, TaskReport>): TaskOrder? {
    val job = checkNotNull(job(ref.jobId)) { "a worker holds the unknown job ${ref.jobId}" }
    val report = reports[ReportedTask(ref.jobId, ref.taskIndex, job.token)]
    return when (job.phase) {
        JobPhase.RESERVING -> reserveOrder(job, ref.taskIndex).takeIf { report == null }
        JobPhase.STARTING ->
            TaskOrder.Start(job.jobId, ref.taskIndex, job.token).takeIf { report?.status == TaskStatus.RESERVED }
        JobPhase.RUNNING -> report?.let { throttleOrder(it, job.spec.shape) }
        JobPhase.STOPPING -> stopOrder(job, ref.taskIndex).takeIf { report?.isFinal() != true }
        JobPhase.QUEUED, JobPhase.DONE -> null
    }
}

internal fun TaskReport.isFinal(): Boolean = status.toTaskState().isFinal

private fun reserveOrder(job: JobRecord, taskIndex: Int) = TaskOrder.Reserve(
    jobId = job.jobId,
    taskIndex = taskIndex,
    token = job.token,
    taskCount = job.tasks.size,
    service = job.spec.service.value,
    accelerators = job.tasks[taskIndex].placement.accelerators,
    cores = job.spec.shape.coresPerTask,
    memoryMiB = job.spec.shape.memoryMiBPerTask,
    payload = job.spec.payload,
    fromCheckpoint = job.started && job.spec.checkpointable,
)

private fun stopOrder(job: JobRecord, taskIndex: Int): TaskOrder =
    TaskOrder.Stop(job.jobId, taskIndex, job.token, job.stop?.graceMillis ?: ORPHAN_GRACE_MILLIS)

private fun throttleOrder(report: TaskReport, shape: Shape): TaskOrder? {
    val declared = shape.coresPerTask * MILLI_CORES_PER_CORE
    val overMemory = report.usedMemoryMiB * PERCENT > shape.memoryMiBPerTask * OVERUSE_PERCENT
    val overCores = report.usedMilliCores * PERCENT > declared * OVERUSE_PERCENT
    val limit = if (overMemory) declared / 2 else declared
    return TaskOrder.Throttle(report.jobId, report.taskIndex, report.token, limit)
        .takeIf { report.status == TaskStatus.RUNNING && (overMemory || overCores) }
}

/**
 * Returns the order that stops or forgets a task which the worker should not hold: one of an earlier placement, or one
 * whose end is recorded. A token beyond the applied log belongs to a placement that this replica has not applied yet;
 * such a task gets no order.
 */
private fun LedgerState.orderForOrphan(worker: WorkerRecord, report: TaskReport): TaskOrder? {
    val job = job(report.jobId)
    val isCurrent = job?.token == report.token && TaskRef(report.jobId, report.taskIndex) in worker.held
    return when {
        isCurrent || report.token > lastIndex -> null
        report.isFinal() -> TaskOrder.Forget(report.jobId, report.taskIndex, report.token)
        else -> TaskOrder.Stop(report.jobId, report.taskIndex, report.token, ORPHAN_GRACE_MILLIS)
    }
}
