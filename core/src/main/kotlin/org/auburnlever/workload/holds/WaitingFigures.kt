package org.auburnlever.workload.holds

/**
 * What metrics show of the steps that wait for longer than a moment.
 *
 * @property heldAccelerators free accelerators that each rule keeps
 * @property waitingSteps number of waiting steps by kind of reason
 * @property oldestMillis longest wait by kind of reason
 */
data class WaitingFigures(
    val heldAccelerators: Map<HoldRule, Int> = emptyMap(),
    val waitingSteps: Map<WaitingKind, Int> = emptyMap(),
    val oldestMillis: Map<WaitingKind, Long> = emptyMap(),
) {
    internal companion object {
        fun of(fleet: FleetRoom, explanations: List<WaitingExplanation>, nowMillis: Long): WaitingFigures {
            val byKind = explanations.groupBy { it.reason.kind }
            return WaitingFigures(
                heldAccelerators = fleet.heldAccelerators(),
                waitingSteps = byKind.mapValues { (_, steps) -> steps.size },
                oldestMillis = byKind.mapValues { (_, steps) -> nowMillis - steps.minOf { it.sinceMillis } },
            )
        }
    }
}
