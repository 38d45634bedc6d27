package org.auburnlever.workload.holds

import org.auburnlever.workload.CoordinatorEffect
import org.auburnlever.workload.DecisionLogEntry
import org.auburnlever.workload.planning.WorkPlan
import org.auburnlever.workload.runs.LeaderState
import org.auburnlever.workload.state.WorkloadState

/** Reports, at bounded cost and volume, why steps wait; the first summary is written at [nextSummaryMillis]. */
internal class WaitingReport(private var nextSummaryMillis: Long) {
    private var plan: WorkPlan? = null
    private var planMillis = 0L
    private var heldSteps = HeldSteps()
    private var nextMillis = 0L

    /** Updated once a second. */
    var figures = WaitingFigures()
        private set

    /** Takes over the newest [plan]. */
    fun planned(plan: WorkPlan, nowMillis: Long) {
        this.plan = plan
        planMillis = nowMillis
    }

    /** Returns the lines that are due about the steps that wait for over a second, and in a summary about all. */
    fun report(leader: LeaderState, state: WorkloadState, nowMillis: Long): List<CoordinatorEffect.Log> {
        if (nowMillis < minOf(nextMillis, nextSummaryMillis)) return emptyList()
        val current = plan?.takeIf { nowMillis - planMillis <= MAX_PLAN_AGE_MILLIS }
        val lastPlanMillis = plan?.let { planMillis }
        val explanations = WaitingExplanations(leader, state, current, lastPlanMillis, nowMillis)
        val lines = ArrayList<DecisionLogEntry>()
        if (nowMillis >= nextSummaryMillis) {
            nextSummaryMillis = nowMillis + SUMMARY_INTERVAL_MILLIS
            lines += waitingLines(explanations.since(nowMillis), nowMillis)
        }
        if (nowMillis >= nextMillis) {
            nextMillis = nowMillis + INTERVAL_MILLIS
            val waiting = explanations.since(nowMillis - MIN_WAIT_MILLIS)
            figures = WaitingFigures.of(explanations.fleet, waiting, nowMillis)
            val (held, heldLines) = heldSteps.updated(waiting, nowMillis)
            heldSteps = held
            lines += heldLines
        }
        return lines.map { CoordinatorEffect.Log(it) }
    }

    private companion object {
        const val INTERVAL_MILLIS = 1_000L
        const val SUMMARY_INTERVAL_MILLIS = 4_000L

        /** Several plans; steps that wait for less are placed by one of them or wait for a commit. */
        const val MIN_WAIT_MILLIS = 1_000L

        /** Longer than the commit of an assignment, during which no plan is made. */
        const val MAX_PLAN_AGE_MILLIS = 1_500L
    }
}
