package org.auburnlever.workload.planning

import org.auburnlever.workload.WorkloadLimits
import org.auburnlever.workload.holds.HoldRule
import org.auburnlever.workload.learning.DurationForecast

/**
 * Decides how long an urgent step waits for running work to end, and how much work may be thrown away for it.
 *
 * Load pattern: a burst of urgent jobs arrives while routine work fills the fleet. Much of that work ends within the
 * time that an urgent job has left, so stopping it would only repeat work.
 */
internal class PreemptionRules(
    private val limits: WorkloadLimits,
    val nowMillis: Long,
    val durations: DurationForecast,
) {
    /**
     * Returns for how long [step] can wait for running work to end by itself.
     *
     * A job within its account's guarantee waits only as long as a preemption can still make it begin in time. One that
     * a preemption can't bring to its objective waits for as long as it takes.
     */
    fun patienceMillis(step: WaitingStep): Long {
        val objectiveLeftMillis = latestStartMillis(step) - nowMillis
        val reclaimLeftMillis = lastPreemptionMillis(step) - nowMillis
        return when {
            step.guaranteed && objectiveLeftMillis <= 0 -> maxOf(0, reclaimLeftMillis)
            step.guaranteed -> maxOf(0, minOf(objectiveLeftMillis, reclaimLeftMillis))
            objectiveLeftMillis < limits.preemptionMillis -> NEVER_MILLIS
            else -> objectiveLeftMillis
        }
    }

    /**
     * Returns whether [preemption] may be carried out for [step].
     *
     * More than a multiple of its own work is thrown away only where a guarantee could not be honoured otherwise.
     */
    fun permits(step: WaitingStep, preemption: Preemption): Boolean =
        preemption.lostMilliCoreMillis <= step.workMilliCoreMillis(durations) * MAX_LOST_MULTIPLE || reclaimIsDue(step)

    /** Returns until when room may be reserved for the gang [step], or null while it may not. */
    fun reservationEndMillis(step: WaitingStep): Long? {
        val waitedMillis = nowMillis - step.waitingSinceMillis
        val limitMillis = HoldRule.GANG_RESERVATION.limitMillis
        val inTurnMillis = waitedMillis % (limitMillis + RESERVATION_PAUSE_MILLIS)
        return if (inTurnMillis < limitMillis) nowMillis - inTurnMillis + limitMillis else null
    }

    /** Returns until when room may be reserved for the urgent [step] without stopping work, or null if it may not. */
    fun urgentReservationEndMillis(step: WaitingStep): Long? =
        (step.waitingSinceMillis + HoldRule.URGENT_STEP.limitMillis).takeIf { nowMillis < it }

    /** Returns whether [step] must take any workers now to begin within its guarantee, however slow they are for it. */
    fun reclaimIsDue(step: WaitingStep): Boolean =
        step.guaranteed && nowMillis in lastPreemptionMillis(step)..reclaimByMillis(step)

    /** Returns whether a preemption can still make [step] end on time; otherwise it is late with or without one. */
    fun canBeOnTime(step: WaitingStep): Boolean = latestStartMillis(step) - nowMillis >= limits.preemptionMillis

    /**
     * Returns for how long [step], which must begin within its guarantee, can wait for running work.
     *
     * Work that ends within the time that a stop takes is not stopped, as long as the margin covers a wrong forecast.
     */
    fun freePatienceMillis(step: WaitingStep): Long {
        val spareMillis = reclaimByMillis(step) - limits.preemptionMillis - nowMillis
        return if (spareMillis >= PLAN_INTERVAL_MILLIS) limits.stopMillis else 0
    }

    private fun latestStartMillis(step: WaitingStep): Long =
        durations.objectiveMillis(step.job, step.id.occurrence) -
            durations.taskMillis(step.job, step.id.step) - START_MILLIS

    /** The time until which a preemption certainly makes the step begin within its guarantee. */
    private fun lastPreemptionMillis(step: WaitingStep): Long =
        reclaimByMillis(step) - limits.preemptionMillis - RECLAIM_MARGIN_MILLIS

    private fun reclaimByMillis(step: WaitingStep): Long =
        step.job.beginMillis(step.id.occurrence) + limits.reclaimMillis

    private companion object {
        /** Time in which work that the reserved room would serve can start, before it is reserved again. */
        const val RESERVATION_PAUSE_MILLIS = 10_000L

        /** Covers a plan that is late and a forecast that is wrong. */
        const val RECLAIM_MARGIN_MILLIS = 500L

        /** The longest time between two plans. */
        const val PLAN_INTERVAL_MILLIS = 250L

        /** Work that may be thrown away for one urgent step, as a multiple of its own work. */
        const val MAX_LOST_MULTIPLE = 8
    }
}
