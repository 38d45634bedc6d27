package org.auburnlever.workload.holds

import org.auburnlever.workload.planning.WaitingStep

/**
 * Decides from when on rules no longer keep free room from a waiting task.
 *
 * Load pattern: most of the fleet is idle after a burst or a fault, and several rules each keep a part of the free
 * room, for a gang, an urgent job or a suspected task, or because of a worker's runs. Together they may leave none.
 *
 * The wait counts from replicated times, so a new leader continues it.
 */
internal class HoldLimit(private val nowMillis: Long) {
    /** Returns the tasks of [step] that have waited so long that no rule may keep room from them any more. */
    fun reachedBy(step: WaitingStep): List<Int> = when {
        !step.spec.gang -> step.tasks.filter { nowMillis - step.waitingSinceMillis(it) >= MAX_HOLD_MILLIS }
        nowMillis - step.waitingSinceMillis >= MAX_HOLD_MILLIS -> step.tasks
        else -> emptyList()
    }

    /**
     * Returns whether the room that is gathered for the urgent step [owner] is spared: until the step reaches the
     * limit itself or, within a guarantee, for the [reclaimMillis] in which it has to begin.
     */
    fun protects(owner: WaitingStep, reclaimMillis: Long): Boolean = reachedBy(owner).isEmpty() ||
        owner.guaranteed && nowMillis < owner.job.beginMillis(owner.id.occurrence) + reclaimMillis

    companion object {
        /**
         * The operators allow a task 3 s to begin on an idle fleet, and a long-running one whenever there is room for
         * it. The rest is for a plan, a commit between regions and a start.
         */
        const val MAX_HOLD_MILLIS = 2_000L
    }
}
