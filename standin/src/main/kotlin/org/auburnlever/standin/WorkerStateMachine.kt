package org.auburnlever.standin

import org.auburnlever.wire.HeartbeatReply
import org.auburnlever.wire.TaskStatus

/** Answer to the heartbeat with [sequence], which was sent at [sentAtMillis] on the worker's monotonic clock. */
internal data class HeartbeatAnswer(val reply: HeartbeatReply, val sequence: Long, val sentAtMillis: Long)

/**
 * Advances the state of a worker by time and by answers to heartbeats: leases are renewed and end, tasks complete,
 * stops take effect.
 */
internal object WorkerStateMachine {
    /**
     * Applies everything that is due at [nowMillis].
     *
     * The lease is checked first: a process that was suspended past the end of its lease must not report that a task
     * completed, because the ledger may already have marked the worker as lost.
     */
    fun tick(state: WorkerState, nowMillis: Long): WorkerStep =
        if (state.holdsLease(nowMillis)) {
            state.tasks.values.fold(WorkerStep(state)) { step, task ->
                step.then { advance(it, task, nowMillis) }
            }
        } else {
            endLease(state)
        }

    /**
     * Applies the answer to a heartbeat.
     *
     * The lease counts from the sending of the heartbeat. An answer whose lease has already ended renews nothing, and
     * its orders are dropped. An answer that arrives after the answer to a later heartbeat does not shorten the lease,
     * and its orders are dropped too: a reserve order must not take effect after the forget order for the same task.
     */
    fun applyAnswer(state: WorkerState, answer: HeartbeatAnswer, nowMillis: Long): WorkerStep {
        val leaseEnds = answer.sentAtMillis + answer.reply.leaseMillis
        val ticked = tick(state, nowMillis)
        if (leaseEnds <= nowMillis) return ticked
        val renewed = ticked.then { WorkerStep(it.renewLease(leaseEnds, answer.sequence)) }
        val dropped = state.behaviour.ignoreOrders || answer.sequence < state.answeredSequence
        val orders = if (dropped) emptyList() else answer.reply.orders
        return orders.fold(renewed) { step, order -> step.then { WorkerOrders.apply(it, order, nowMillis) } }
    }

    /** Stops every reserved or running task at once, as at the end of the lease. */
    fun stopAll(state: WorkerState, reason: String): WorkerStep =
        state.tasks.values.filter { it.active }.fold(WorkerStep(state)) { step, task ->
            step.then { it.changeTask(task.copy(status = TaskStatus.STOPPED), reason) }
        }

    private fun endLease(state: WorkerState): WorkerStep =
        stopAll(state, "lease ended").then { WorkerStep(it.copy(leaseEndsMillis = null)) }

    private fun advance(state: WorkerState, task: WorkerTask, nowMillis: Long): WorkerStep =
        when {
            task.status != TaskStatus.RUNNING -> WorkerStep(state)
            task.stopsAtMillis != null && nowMillis >= task.stopsAtMillis ->
                state.changeTask(task.copy(status = TaskStatus.STOPPED), "stopped by order")
            nowMillis >= task.endsAtMillis -> finish(state, task)
            else -> WorkerStep(state)
        }

    private fun finish(state: WorkerState, task: WorkerTask): WorkerStep =
        if (task.payload?.fail == true) {
            state.changeTask(task.copy(status = TaskStatus.FAILED, error = "failed as the payload requests"), "failed")
        } else {
            state.changeTask(task.copy(status = TaskStatus.COMPLETED), "completed")
        }
}
