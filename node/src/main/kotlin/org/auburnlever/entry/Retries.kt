package org.auburnlever.entry

import org.auburnlever.routing.RoutingState
import org.auburnlever.routing.Transition

/** The retry budget in [state]. */
internal class Retries(private val state: Published<RoutingState>, private val clock: () -> Long) {
    /** Counts a first attempt. */
    fun requested() = state.update { it.copy(retries = it.retries.recordRequest(clock())) }

    /** Takes one retry from the budget; false if none is left. */
    fun take(): Boolean = state.change { before ->
        val left = before.retries.takeRetry(clock())
        Transition(if (left == null) before else before.copy(retries = left), left != null)
    }
}
