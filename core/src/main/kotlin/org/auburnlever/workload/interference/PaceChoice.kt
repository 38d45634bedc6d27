package org.auburnlever.workload.interference

/** Chooses what to order for the tasks on spare cores of [reading]; [suspicion] ranks them by the expected harm. */
internal class PaceChoice(
    private val control: PaceControl,
    private val reading: WorkerReading,
    private val suspicion: (SpareCoreTask) -> Long,
) {
    /** Slows the most suspected tasks, or all of them if it is [urgent]. */
    fun slowDown(urgent: Boolean): List<PaceStep.Order> {
        val working = reading.spare.map { it to (control.paceOf(it, reading.worker) ?: PERCENT) }
            .filter { (_, pace) -> pace > 0 }
            .sortedByDescending { (task, _) -> suspicion(task) }
        return working.take(if (urgent) working.size else MAX_SLOWED_AT_ONCE).map { (task, pace) ->
            PaceStep.Order(task.run, if (!urgent && pace > SLOWED_PERCENT) SLOWED_PERCENT else 0)
        }
    }

    /** Restores the tasks of a worker without serving tasks. */
    fun restoreAll(): List<PaceStep.Order> = reading.spare.filter { control.paceOf(it, reading.worker) != PERCENT }
        .map { PaceStep.Order(it.run, PERCENT) }

    /** Raises the pace of the least suspected task that is paced. */
    fun restoreOne(): List<PaceStep.Order> =
        reading.spare.map { it to (control.paceOf(it, reading.worker) ?: SLOWED_PERCENT) }
            .filter { (_, pace) -> pace < PERCENT }
            .minByOrNull { (task, _) -> suspicion(task) }
            ?.let { (task, pace) -> listOf(PaceStep.Order(task.run, minOf(PERCENT, pace + RESTORED_PERCENT))) }
            .orEmpty()

    /** Moves the tasks whose pace can't be ordered. */
    fun moves(): List<PaceStep.Move> = reading.spare.map { it.run }
        .filter { run -> control.paces[run].let { it != null && !it.answered && it.failures >= FAILURES_UNTIL_MOVE } }
        .map { PaceStep.Move(it) }

    /** Repeats orders that were not answered or may have been overtaken by an earlier one. */
    fun repeats(nowMillis: Long): List<PaceStep.Order> = reading.spare.mapNotNull { task ->
        val pace = control.paces[task.run]?.takeIf { it.worker == reading.worker }
        val unanswered = pace != null && !pace.answered && nowMillis - pace.sentMillis >= ANSWER_MILLIS
        val uncertain = pace?.repeatMillis.let { it != null && nowMillis >= it }
        if (pace != null && (unanswered || uncertain)) PaceStep.Order(task.run, pace.percent, repeated = true) else null
    }

    private companion object {
        /** First step down; an image that does little harm keeps a part of its work. */
        const val SLOWED_PERCENT = 40

        /** One step up takes a fifth of the harm back. */
        const val RESTORED_PERCENT = 20
        const val MAX_SLOWED_AT_ONCE = 2

        /** An answer takes 40 ms between regions; later, the order is sent again. */
        const val ANSWER_MILLIS = 500L
        const val FAILURES_UNTIL_MOVE = 2
    }
}
