package org.auburnlever.ledger

import org.auburnlever.model.AccountName
import org.auburnlever.wire.JobPhase

private const val GANG_STEP_MILLIS = 3_000L
private const val START_CONFIRMED_MILLIS = 10_000L
private const val STOP_GRACE_MILLIS = 2_000L

/** Allocates the accelerators of [placement], which must be valid, to [job] and starts the reservation of its tasks. */
internal fun Transition.reserveGang(
    job: JobRecord,
    placement: GangPlacement,
    guarantee: GuaranteeId?,
    reason: String,
) {
    placement.tasks.forEachIndexed { taskIndex, task ->
        putWorker(checkNotNull(worker(task.worker)).hold(TaskRef(job.jobId, taskIndex), task, job.spec.shape))
    }
    addHeld(job.account, job.spec.shape.acceleratorCount)
    val reserving = job.copy(
        attempt = job.attempt + 1,
        token = index,
        guarantee = guarantee,
        tasks = placement.tasks.map { TaskRecord(it) }.toTaskList(),
        stop = null,
        placedMillis = nowMillis,
        runningMillis = null,
        confirmed = false,
        waitedMillis = job.waitedMillis + nowMillis - job.queuedMillis,
    )
    moveJob(reserving, JobPhase.RESERVING, DecisionKind.PLACED, reason)
    setTimer(LedgerTimer.GangDeadline(job.jobId, index, starting = false), nowMillis + GANG_STEP_MILLIS)
}

/** Moves a gang whose tasks changed to its next phase once all tasks are ready, or stops it if one ended early. */
internal fun Transition.advanceGang(jobId: String) {
    val job = job(jobId) ?: return
    when {
        job.phase == JobPhase.STOPPING -> endOrRequeueIfStopped(job)
        job.tasks.any { it.state > TaskState.COMPLETED } -> stopIncompleteGang(job)
        job.phase == JobPhase.RESERVING && job.tasks.all { it.state >= TaskState.RESERVED } -> startGang(job)
        job.phase == JobPhase.STARTING && job.tasks.all { it.state >= TaskState.RUNNING } -> runGang(job)
        job.phase == JobPhase.RUNNING && job.tasks.all { it.state == TaskState.COMPLETED } -> completeGang(job)
    }
}

private fun Transition.startGang(job: JobRecord) {
    val starting = job.copy(started = true)
    moveJob(starting, JobPhase.STARTING, DecisionKind.STARTING, "all ${job.tasks.size} tasks are reserved")
    setTimer(LedgerTimer.GangDeadline(job.jobId, job.token, starting = true), nowMillis + GANG_STEP_MILLIS)
}

private fun Transition.runGang(job: JobRecord) {
    val running = job.copy(runningMillis = nowMillis)
    moveJob(running, JobPhase.RUNNING, DecisionKind.RUNNING, "all ${job.tasks.size} tasks run")
    setTimer(LedgerTimer.StartConfirmed(job.jobId, job.token), nowMillis + START_CONFIRMED_MILLIS)
    advanceGang(job.jobId)
}

private fun Transition.stopIncompleteGang(job: JobRecord) {
    val task = job.tasks.first { it.state > TaskState.COMPLETED }
    val worker = task.placement.worker
    val beforeRunning = job.phase != JobPhase.RUNNING
    when {
        task.state == TaskState.LOST -> beginStop(job.jobId, StopCause.WORKER_LOST, "worker $worker was lost")
        task.state == TaskState.STOPPED ->
            beginStop(job.jobId, StopCause.WORKER_LOST, "worker $worker stopped its task without an order")
        beforeRunning -> beginStop(job.jobId, StopCause.START_FAILED, "start failed on $worker: ${task.error}")
        else -> beginStop(job.jobId, StopCause.TASK_FAILED, "a task failed on $worker: ${task.error}")
    }
}

internal fun Transition.beginStop(jobId: String, cause: StopCause, reason: String) =
    beginStop(jobId, StopDecision(cause, STOP_GRACE_MILLIS, reason))

/** Begins to stop all tasks of an active gang; a gang that is already stopping keeps its first cause. */
internal fun Transition.beginStop(jobId: String, stop: StopDecision) {
    val job = job(jobId) ?: return
    if (job.isActive && job.phase != JobPhase.STOPPING) {
        val stopping = job.copy(stop = stop)
        endOrRequeueIfStopped(moveJob(stopping, JobPhase.STOPPING, DecisionKind.STOPPING, stop.reason))
    }
}

/** Stores the state of a task; the resources of a task that has ended are released. */
internal fun Transition.setTask(jobId: String, taskIndex: Int, task: TaskRecord) {
    val job = checkNotNull(job(jobId))
    putJob(job.copy(tasks = job.tasks.set(taskIndex, task)))
    if (task.state.isFinal) {
        val holder = checkNotNull(worker(task.placement.worker))
        putWorker(holder.release(TaskRef(jobId, taskIndex), task.placement, job.spec.shape))
        addHeld(job.account, -job.spec.shape.acceleratorsPerTask)
    }
}

private fun Transition.addHeld(account: AccountName, accelerators: Int) {
    val record = state.accounts[account] ?: AccountRecord()
    val changed = record.copy(heldAccelerators = record.heldAccelerators + accelerators)
    state = state.copy(accounts = state.accounts.put(account, changed))
}
