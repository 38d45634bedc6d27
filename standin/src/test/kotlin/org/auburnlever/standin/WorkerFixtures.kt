package org.auburnlever.standin

import org.auburnlever.wire.HeartbeatReply
import org.auburnlever.wire.TaskOrder
import org.auburnlever.wire.TaskStatus

/** Returns a worker with 8 accelerators, without a lease and without tasks. */
internal fun worker(): WorkerState = WorkerState(
    WorkerSettings(
        name = "worker-0",
        failureDomain = "thies-a",
        rack = "rack-0",
        positionInRack = 0,
        accelerators = 8,
        cores = 128,
        memoryMiB = 512,
        usageLagMillis = 2_000,
        checkpointMillis = 500,
    ),
    epochMillis = 1,
)

internal fun reserve(token: Long, accelerators: List<Int> = listOf(0, 1), payload: String = "", job: String = "job") =
    TaskOrder.Reserve(
        jobId = job,
        taskIndex = 0,
        token = token,
        taskCount = 1,
        service = "simulate",
        accelerators = accelerators,
        cores = 4,
        memoryMiB = 256,
        payload = payload,
        fromCheckpoint = false,
    )

internal fun start(token: Long) = TaskOrder.Start("job", taskIndex = 0, token = token)

internal fun stop(token: Long, graceMillis: Long = 2_000) = TaskOrder.Stop("job", 0, token, graceMillis)

internal fun forget(token: Long) = TaskOrder.Forget("job", taskIndex = 0, token = token)

/** Applies the answer to heartbeat [sequence], sent at [sentAt]: a lease of 10 s and [orders]. */
internal fun WorkerState.afterAnswer(
    sentAt: Long,
    now: Long,
    vararg orders: TaskOrder,
    sequence: Long = 1,
): WorkerState {
    val reply = HeartbeatReply(leaseMillis = 10_000, orders = orders.toList())
    return WorkerStateMachine.applyAnswer(this, HeartbeatAnswer(reply, sequence, sentAt), now).state
}

internal fun WorkerState.afterTick(nowMillis: Long): WorkerState = WorkerStateMachine.tick(this, nowMillis).state

internal fun WorkerState.taskStatus(job: String = "job"): TaskStatus? = tasks[TaskId(job, 0)]?.status
