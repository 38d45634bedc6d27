package org.auburnlever.host

import kotlinx.coroutines.CompletableDeferred
import org.auburnlever.ledger.LedgerState
import org.auburnlever.ledger.ordersFor
import org.auburnlever.wire.HeartbeatReply
import org.auburnlever.wire.TaskOrder
import org.auburnlever.wire.WorkerHeartbeat

/** Heartbeats whose answers wait for orders; used by the decision thread only. */
internal class HeldHeartbeats {
    private class Held(
        val heartbeat: WorkerHeartbeat,
        val untilMillis: Long,
        val reply: CompletableDeferred<HeartbeatReply?>,
    )

    private var held = emptyList<Held>()

    /** Holds [heartbeat]; an earlier one of the same worker is answered, since the worker stopped waiting for it. */
    fun add(heartbeat: WorkerHeartbeat, nowMillis: Long, reply: CompletableDeferred<HeartbeatReply?>) {
        val (earlier, rest) = held.partition { it.heartbeat.worker == heartbeat.worker }
        earlier.forEach { it.reply.complete(answer(emptyList())) }
        held = rest + Held(heartbeat, nowMillis + HOLD_MILLIS, reply)
    }

    /** Says whether some heartbeat has been held long enough. */
    fun anyDue(nowMillis: Long): Boolean = held.any { it.untilMillis <= nowMillis }

    /** Answers the heartbeats that have orders in [state] or have been held long enough. */
    fun answer(state: LedgerState, nowMillis: Long) {
        held = held.filter { waiting ->
            val orders = ordersFor(state, waiting.heartbeat)
            val answered = orders.isNotEmpty() || waiting.untilMillis <= nowMillis
            if (answered) waiting.reply.complete(answer(orders))
            !answered
        }
    }

    /** Gives all heartbeats back without an answer. */
    fun refuseAll() {
        held.forEach { it.reply.complete(null) }
        held = emptyList()
    }

    private fun answer(orders: List<TaskOrder>) = HeartbeatReply(LEASE_MILLIS, orders)

    private companion object {
        /** A worker stops its tasks this long after it sent the last answered heartbeat. */
        const val LEASE_MILLIS = 10_000L
        const val HOLD_MILLIS = 1_000L
    }
}
