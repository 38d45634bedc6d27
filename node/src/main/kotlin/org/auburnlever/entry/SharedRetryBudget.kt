package org.auburnlever.entry

import org.auburnlever.routing.RoutingState
import org.auburnlever.routing.Transition

/** The retry budget in [state]. */
internal class SharedRetryBudget(private val state: AtomicState<RoutingState>, private val clock: () -> Long) {
    /** Counts a first attempt. */
    fun recordRequest() = state.update { it.copy(retries = it.retries.requested(clock())) }

    /** Takes one retry from the budget; false if none is left. */
    fun tryTake(): Boolean = state.change { before ->
        val left = before.retries.retried(clock())
        Transition(if (left == null) before else before.copy(retries = left), left != null)
    }
}
