package org.auburnlever.host

import kotlinx.coroutines.CompletableDeferred
import org.auburnlever.ledger.LedgerState
import org.auburnlever.ledger.ordersFor
import org.auburnlever.wire.HeartbeatReply
import org.auburnlever.wire.TaskOrder
import org.auburnlever.wire.WorkerHeartbeat

/** Heartbeats whose answers wait for orders; used by the decision thread only. */
internal class HeldHeartbeats {
    /** A heartbeat that can be answered with [orders] once leadership is confirmed. */
    class Ready(private val orders: List<TaskOrder>, private val reply: CompletableDeferred<HeartbeatReply?>) {
        /** Renews the lease and hands out the orders, or refuses if this replica does not lead any more. */
        fun answer(leads: Boolean) {
            reply.complete(if (leads) HeartbeatReply(LEASE_MILLIS, orders) else null)
        }
    }

    private class Held(
        val heartbeat: WorkerHeartbeat,
        val untilMillis: Long,
        val reply: CompletableDeferred<HeartbeatReply?>,
    )

    private var held = emptyList<Held>()

    /** Holds [heartbeat] until there are orders, at the latest for 1 s. */
    fun add(heartbeat: WorkerHeartbeat, nowMillis: Long, reply: CompletableDeferred<HeartbeatReply?>) {
        held = held + Held(heartbeat, nowMillis + HOLD_MILLIS, reply)
    }

    /** Takes out the heartbeats that have orders in [state] or have been held long enough. */
    fun takeReady(state: LedgerState, nowMillis: Long): List<Ready> {
        val ready = mutableListOf<Ready>()
        held = held.filter { waiting ->
            val orders = ordersFor(state, waiting.heartbeat)
            val isReady = orders.isNotEmpty() || waiting.untilMillis <= nowMillis
            if (isReady) ready += Ready(orders, waiting.reply)
            !isReady
        }
        return ready
    }

    /** Gives all heartbeats back without an answer. */
    fun refuseAll() {
        held.forEach { it.reply.complete(null) }
        held = emptyList()
    }

    private companion object {
        /** A worker stops its tasks this long after it sent the last answered heartbeat. */
        const val LEASE_MILLIS = 10_000L
        const val HOLD_MILLIS = 1_000L
    }
}
