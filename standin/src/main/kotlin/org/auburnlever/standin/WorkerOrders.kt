package org.auburnlever.standin

import org.auburnlever.wire.TaskOrder
import org.auburnlever.wire.TaskStatus

private const val MAX_JOBS_WITH_TOKEN = 10_000

/**
 * Applies orders to the state of a worker. Orders are level-triggered: the sender repeats them until the reports show
 * their effect, so an order that already took effect changes nothing.
 */
internal object WorkerOrders {
    /** Applies [order], unless a newer fencing token was seen for its job. */
    fun apply(state: WorkerState, order: TaskOrder, nowMillis: Long): WorkerStep {
        if (order.token < (state.newestTokens[order.jobId] ?: 0)) return WorkerStep(state)
        val fenced = fence(state, order)
        return when (order) {
            is TaskOrder.Reserve -> fenced.then { reserve(it, order) }
            is TaskOrder.Start -> fenced.then { start(it, order, nowMillis) }
            is TaskOrder.Stop -> fenced.then { stop(it, order, nowMillis) }
            is TaskOrder.Throttle -> fenced.then { throttle(it, order, nowMillis) }
            is TaskOrder.Forget -> fenced.then { forget(it, order) }
        }
    }

    /** Records the fencing token and stops the tasks of the job's earlier placements. */
    private fun fence(state: WorkerState, order: TaskOrder): WorkerStep {
        val recorded = state.copy(newestTokens = withNewestToken(state.newestTokens, order.jobId, order.token))
        return state.tasks.values
            .filter { it.active && it.order.jobId == order.jobId && it.order.token < order.token }
            .fold(WorkerStep(recorded)) { step, task ->
                step.then { it.changeTask(task.copy(status = TaskStatus.STOPPED), "newer token ${order.token}") }
            }
    }

    private fun reserve(state: WorkerState, order: TaskOrder.Reserve): WorkerStep {
        val task = WorkerTask(order, TaskPayload.parse(order.payload), TaskStatus.RESERVED)
        if (state.tasks[task.id]?.order?.token == order.token) return WorkerStep(state)
        val error = reserveError(state, order)
        return if (error == null) {
            state.changeTask(task, "reserved")
        } else {
            state.changeTask(task.copy(status = TaskStatus.FAILED, error = error), error)
        }
    }

    private fun reserveError(state: WorkerState, order: TaskOrder.Reserve): String? {
        val inUse = state.tasks.values.filter { it.active }.flatMap { it.order.accelerators }
        return when {
            order.accelerators.any { it !in 0 until state.settings.accelerators } -> "no such accelerator"
            order.accelerators.any { it in inUse } -> "accelerator in use"
            else -> null
        }
    }

    private fun start(state: WorkerState, order: TaskOrder.Start, nowMillis: Long): WorkerStep {
        val task = state.taskFor(order)?.takeIf { it.status == TaskStatus.RESERVED } ?: return WorkerStep(state)
        val error = when {
            state.behaviour.failAll -> "worker is set to fail every task"
            task.payload == null -> "payload is not a valid task description"
            else -> null
        }
        return if (error == null) {
            state.changeTask(task.started(nowMillis), "started")
        } else {
            state.changeTask(task.copy(status = TaskStatus.FAILED, error = error), error)
        }
    }

    private fun stop(state: WorkerState, order: TaskOrder.Stop, nowMillis: Long): WorkerStep {
        val task = state.taskFor(order)
        return when {
            task == null -> stopUnknown(state, order)
            task.status == TaskStatus.RESERVED ->
                state.changeTask(task.copy(status = TaskStatus.STOPPED), "stopped by order")
            task.status == TaskStatus.RUNNING -> WorkerStep(state.withTask(withStopTime(state, task, order, nowMillis)))
            else -> WorkerStep(state)
        }
    }

    /** Adds a stopped task for one whose reserve order was lost, so that the ledger can free its accelerators. */
    private fun stopUnknown(state: WorkerState, order: TaskOrder.Stop): WorkerStep =
        state.changeTask(unknownTask(order), "stop order arrived before a reserve order")

    private fun withStopTime(state: WorkerState, task: WorkerTask, order: TaskOrder.Stop, nowMillis: Long): WorkerTask {
        val checkpoints = (task.payload?.checkpointEveryMillis ?: 0) > 0
        val checkpointMillis = if (checkpoints) state.settings.checkpointMillis else 0
        val stopsAt = nowMillis + minOf(checkpointMillis, order.graceMillis)
        return task.copy(stopsAtMillis = minOf(stopsAt, task.stopsAtMillis ?: stopsAt))
    }

    private fun throttle(state: WorkerState, order: TaskOrder.Throttle, nowMillis: Long): WorkerStep {
        val task = state.taskFor(order)?.takeIf { it.active && it.milliCores != order.milliCores }
        return WorkerStep(if (task == null) state else state.withTask(task.throttled(order.milliCores, nowMillis)))
    }

    private fun forget(state: WorkerState, order: TaskOrder.Forget): WorkerStep {
        val task = state.taskFor(order)?.takeUnless { it.active }
        return WorkerStep(if (task == null) state else state.copy(tasks = state.tasks - task.id))
    }
}

/**
 * Adds the newest [token] of a job; drops the oldest job beyond [MAX_JOBS_WITH_TOKEN], so that the map stays bounded.
 */
private fun withNewestToken(tokens: Map<String, Long>, jobId: String, token: Long): Map<String, Long> {
    val others = tokens - jobId
    val bounded = if (others.size < MAX_JOBS_WITH_TOKEN) others else others - others.keys.first()
    return bounded + (jobId to token)
}

private fun WorkerState.taskFor(order: TaskOrder): WorkerTask? =
    tasks[TaskId(order.jobId, order.taskIndex)]?.takeIf { it.order.token == order.token }

/** Returns a stopped task of which only the stop order is known. */
private fun unknownTask(order: TaskOrder.Stop): WorkerTask {
    val reserve = TaskOrder.Reserve(
        jobId = order.jobId,
        taskIndex = order.taskIndex,
        token = order.token,
        taskCount = 0,
        service = "",
        accelerators = emptyList(),
        cores = 0,
        memoryMiB = 0,
        payload = "",
        fromCheckpoint = false,
    )
    return WorkerTask(reserve, payload = null, status = TaskStatus.STOPPED)
}
