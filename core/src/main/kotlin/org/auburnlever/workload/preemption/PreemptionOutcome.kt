package org.auburnlever.workload.preemption

import org.auburnlever.workload.state.StepId

/**
 * What a plan discards for urgent steps, in milli-core-milliseconds, and what it did not permit.
 *
 * @property budgetedMilliCoreMillis work discarded outside guarantees, which the budget limits
 * @property reclaimedMilliCoreMillis work discarded to keep a guarantee
 */
data class PreemptionOutcome(
    val budgetedMilliCoreMillis: Long = 0,
    val reclaimedMilliCoreMillis: Long = 0,
    val denied: List<PreemptionDenial> = emptyList(),
)

/** A preemption that was not permitted for [step]; it would discard [lostMilliCoreMillis]. */
data class PreemptionDenial(val step: StepId, val reason: DenialReason, val lostMilliCoreMillis: Long)

/** Why a preemption is not permitted. */
enum class DenialReason {
    /** Earlier preemptions used up the budget. */
    BUDGET,

    /** The loss of the stopped jobs' callers is at least the gain of the urgent job's caller. */
    NO_GAIN,
}
