package org.auburnlever.entry

import org.auburnlever.routing.RoutingState
import org.auburnlever.routing.Transition

/** Accesses the retry budget in [state], which all requests of this host share. */
internal class SharedRetryBudget(private val state: AtomicState<RoutingState>, private val clock: () -> Long) {
    /** Counts a first attempt, which adds to the budget. */
    fun recordRequest() = state.update { it.copy(retries = it.retries.recordRequest(clock())) }

    /** Takes one retry from the budget; returns false if none is left. */
    fun tryTake(): Boolean = state.change { before ->
        val left = before.retries.takeRetry(clock())
        Transition(if (left == null) before else before.copy(retries = left), left != null)
    }
}
