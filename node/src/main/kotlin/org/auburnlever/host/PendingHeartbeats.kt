package org.auburnlever.host

import kotlinx.coroutines.CompletableDeferred
import org.auburnlever.ledger.LedgerState
import org.auburnlever.ledger.ordersFor
import org.auburnlever.wire.HeartbeatReply
import org.auburnlever.wire.TaskOrder
import org.auburnlever.wire.WorkerHeartbeat

/** Heartbeats whose answers wait for orders; used by the decision thread only. */
internal class PendingHeartbeats {
    /** A heartbeat that can be answered with [orders] once leadership is confirmed. */
    class Ready(private val orders: List<TaskOrder>, private val reply: CompletableDeferred<HeartbeatReply?>) {
        /** Renews the lease and hands out the orders, or refuses if this replica does not lead any more. */
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

    /** Holds [heartbeat] until there are orders, at the latest for 1 s. */
    fun add(heartbeat: WorkerHeartbeat, nowMillis: Long, reply: CompletableDeferred<HeartbeatReply?>) {
        pending = pending + PendingHeartbeat(heartbeat, nowMillis + MAX_WAIT_MILLIS, reply)
    }

    /** Takes out the heartbeats that have orders in [state] or have been held long enough. */
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

    /** Gives all heartbeats back without an answer. */
    fun refuseAll() {
        pending.forEach { it.reply.complete(null) }
        pending = emptyList()
    }

    private companion object {
        /** A worker stops its tasks this long after it sent the last answered heartbeat. */
        const val LEASE_MILLIS = 10_000L
        const val MAX_WAIT_MILLIS = 1_000L
    }
}
