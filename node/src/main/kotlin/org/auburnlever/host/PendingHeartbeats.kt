package org.auburnlever.host

import kotlinx.coroutines.CompletableDeferred
import org.auburnlever.ledger.LedgerState
import org.auburnlever.ledger.ordersFor
import org.auburnlever.wire.HeartbeatReply
import org.auburnlever.wire.TaskOrder
import org.auburnlever.wire.WorkerHeartbeat

/** Heartbeats that wait for orders as long polls. Used by the decision thread only. */
internal class PendingHeartbeats {
    /** A heartbeat to answer with [orders] once the leadership is confirmed. */
    class Ready(private val orders: List<TaskOrder>, private val reply: CompletableDeferred<HeartbeatReply?>) {
        /** Replies with a renewed lease and the orders, or with null if this replica no longer leads. */
        fun answer(leads: Boolean) {
            reply.complete(if (leads) HeartbeatReply(LEASE_MILLIS, orders) else null)
        }
    }

    private class PendingHeartbeat(
        val heartbeat: WorkerHeartbeat,
        val untilMillis: Long,
        val reply: CompletableDeferred<HeartbeatReply?>,
    )

    private var pending = emptyList<PendingHeartbeat>()

    /** Adds [heartbeat], to be answered once there are orders, or after 1 s without any. */
    fun add(heartbeat: WorkerHeartbeat, nowMillis: Long, reply: CompletableDeferred<HeartbeatReply?>) {
        pending = pending + PendingHeartbeat(heartbeat, nowMillis + MAX_WAIT_MILLIS, reply)
    }

    /** Removes and returns the heartbeats that have orders in [state] or have waited for the maximum time. */
    fun takeReady(state: LedgerState, nowMillis: Long): List<Ready> {
        val ready = mutableListOf<Ready>()
        pending = pending.filter { entry ->
            val orders = ordersFor(state, entry.heartbeat)
            val isReady = orders.isNotEmpty() || entry.untilMillis <= nowMillis
            if (isReady) ready += Ready(orders, entry.reply)
            !isReady
        }
        return ready
    }

    /** Replies to all heartbeats with null, as this replica does not lead, and removes them. */
    fun refuseAll() {
        pending.forEach { it.reply.complete(null) }
        pending = emptyList()
    }

    private companion object {
        /** A worker stops its tasks when this time has passed since it sent the last answered heartbeat. */
        const val LEASE_MILLIS = 10_000L
        const val MAX_WAIT_MILLIS = 1_000L
    }
}
