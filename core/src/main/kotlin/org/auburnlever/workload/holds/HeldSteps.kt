package org.auburnlever.workload.holds

import org.auburnlever.workload.DecisionLogEntry
import org.auburnlever.workload.state.StepId
import java.util.IdentityHashMap

/** The steps that have a log line because room is kept from them, each with what the newest line told. */
internal class HeldSteps private constructor(private val told: Map<StepId, Cause>) {
    constructor() : this(emptyMap())

    private data class Cause(val kind: WaitingKind, val holders: Set<Pair<HoldRule, String>>)

    /**
     * Returns the held steps after [explanations], and the lines to log: one for each step from which room is kept, and
     * one for each later change of the cause.
     *
     * What exceeds the bound on the lines follows with the next explanations, unless the wait has ended.
     */
    fun updated(
        explanations: List<WaitingExplanation>,
        nowMillis: Long,
    ): Pair<HeldSteps, List<DecisionLogEntry>> {
        val next = HashMap<StepId, Cause>()
        val lines = ArrayList<DecisionLogEntry>()
        val causes = IdentityHashMap<WaitingReason, Cause>()
        for (explanation in explanations.sortedBy { it.sinceMillis }.distinctBy { it.step }) {
            val earlier = told[explanation.step]
            val cause = causes.getOrPut(explanation.reason) { explanation.reason.cause() }
            val isNew = cause != earlier && (earlier != null || cause.holders.isNotEmpty())
            if (isNew && lines.size < MAX_LINES) {
                lines += explanation.heldLine(nowMillis)
                next[explanation.step] = cause
            } else if (earlier != null) {
                next[explanation.step] = earlier
            }
        }
        return HeldSteps(next) to lines
    }

    // Ends of rules are left out, since some rules are renewed every two seconds.
    private fun WaitingReason.cause() = Cause(kind, holds.map { it.rule to it.owner }.toSet())

    private companion object {
        const val MAX_LINES = 10
    }
}
