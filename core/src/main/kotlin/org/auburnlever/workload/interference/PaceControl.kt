package org.auburnlever.workload.interference

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.auburnlever.workload.WorkloadLimits
import org.auburnlever.workload.runs.OrderAnswer
import org.auburnlever.workload.runs.RefusalReason
import org.auburnlever.workload.state.TaskRun
import org.auburnlever.workload.state.WorkerRef

/** What is to be done with a run that uses spare cores. */
internal sealed interface PaceStep {
    val run: TaskRun

    /** Order [percent] for the run; [repeated] if it only makes an earlier order certain. */
    data class Order(override val run: TaskRun, val percent: Int, val repeated: Boolean = false) : PaceStep

    /** Stop the run, so that it starts on another worker, since its pace can't be ordered. */
    data class Move(override val run: TaskRun) : PaceStep
}

/**
 * The newest pace that was ordered for a run.
 *
 * @property percent what was ordered
 * @property sentMillis when the newest order was sent
 * @property answered whether the worker has confirmed it
 * @property failures orders in a row without a confirmation
 * @property repeatMillis when to order the same again, because an earlier order may be carried out late; null if none
 *   can be
 */
internal data class RunPace(
    val worker: WorkerRef,
    val percent: Int,
    val sentMillis: Long,
    val answered: Boolean = false,
    val failures: Int = 0,
    val repeatMillis: Long? = null,
)

/**
 * What the control loop remembers of a worker.
 *
 * @property underMillis when each serving task was last seen below its target
 * @property changedMillis when a pace last changed; figures from before show the earlier paces
 * @property slackSinceMillis since when all serving tasks have had slack; null if one has none
 * @property restoreDelayMillis time with slack before the next restoration
 * @property restoredMillis when a pace was last raised
 */
internal data class WorkerPacing(
    val worker: WorkerRef,
    val underMillis: Map<TaskRun, Long> = emptyMap(),
    val changedMillis: Long = 0,
    val slackSinceMillis: Long? = null,
    val restoreDelayMillis: Long = MIN_RESTORE_DELAY_MILLIS,
    val restoredMillis: Long = 0,
)

/**
 * Paces tasks on spare cores beside serving tasks that are over their target.
 *
 * Load pattern: the load of a serving task, or the harm of its neighbours, changes within seconds, and a task may be
 * over its target for no longer than `interferenceMillis`. The most suspected neighbours are slowed down first, a few
 * at a time; after two fifths of that time all are, which leaves the rest for a lost order. Paces are raised again one
 * step and one run at a time while the serving tasks have slack; between slack and target nothing changes, and a
 * restoration that brings a task over its target doubles the time before the next one, so that a target just at the
 * limit does not lead to an oscillation. Figures are only used if they were measured after the last change took effect.
 *
 * After an election no pace is known: a run that an earlier leader started counts as working at full pace where a
 * serving task is over its target, and as paced where it is not, unless its figure shows otherwise.
 */
internal data class PaceControl(
    private val limits: WorkloadLimits,
    val paces: PersistentMap<TaskRun, RunPace> = persistentMapOf(),
    val workers: PersistentMap<String, WorkerPacing> = persistentMapOf(),
) {
    /** Time over the target after which all neighbours are slowed down. */
    private val urgentMillis: Long get() = limits.interferenceMillis * URGENT_PERCENT / PERCENT

    /** The result of a decision. */
    class Decision(val control: PaceControl, val steps: List<PaceStep>)

    /** Returns the pace of [task] on [worker]; null if an earlier leader may have changed it. */
    fun paceOf(task: SpareCoreTask, worker: WorkerRef): Int? {
        val ordered = paces[task.run]?.takeIf { it.worker == worker }?.percent
        return ordered ?: PERCENT.takeIf { !task.adopted || task.showsFullPace }
    }

    /** Returns the pace of [task] at the time of the figures of [reading]; null if it is not known. */
    fun measuredPaceOf(task: SpareCoreTask, reading: WorkerReading): Int? {
        val certain = paces[task.run]?.answered != false
        return if (certain && isSettled(reading)) paceOf(task, reading.worker) else null
    }

    private fun isSettled(reading: WorkerReading): Boolean {
        val changedMillis = workers[reading.worker.id]?.takeIf { it.worker == reading.worker }?.changedMillis ?: 0
        return reading.measuredMillis - changedMillis >= limits.paceMillis + FIGURE_MILLIS
    }

    /** Returns whether the worker [id] needs to be read often: a task has little slack or a neighbour is paced. */
    fun watches(id: String): Boolean = workers[id].let { it != null && it.slackSinceMillis == null } ||
        paces.values.any { it.worker.id == id && it.percent < PERCENT }

    /** Returns the control without the runs that are not [current] and the workers that have none of them. */
    fun keepRuns(current: (TaskRun) -> Boolean): PaceControl {
        val ended = paces.keys.filterNot(current)
        val left = workers.filterValues { pacing -> pacing.underMillis.keys.none(current) }.keys
        return copy(
            paces = ended.fold(paces) { kept, run -> kept.remove(run) },
            workers = left.fold(workers) { kept, id -> kept.remove(id) },
        )
    }

    /** Decides on [reading]; [suspicion] ranks the tasks on spare cores by the harm that they are expected to do. */
    fun decide(reading: WorkerReading, nowMillis: Long, suspicion: (SpareCoreTask) -> Long): Decision {
        val known = workers[reading.worker.id]?.takeIf { it.worker == reading.worker }
        val warm = reading.serving.filter { it.ageMillis >= WARM_UP_MILLIS }
        val pacing = (known ?: WorkerPacing(reading.worker)).seen(warm, isNew = known == null, nowMillis)
        val overMillis = warm.filter { it.isOverTarget }.maxOfOrNull { nowMillis - pacing.underMillis.getValue(it.run) }
        val urgent = overMillis != null && overMillis >= urgentMillis
        val hasSlack = reading.hasSlack(warm)
        val choice = PaceChoice(this, reading, suspicion)
        val changes = when {
            overMillis != null -> if (isSettled(reading) || urgent) choice.slowDown(urgent) else emptyList()
            !hasSlack -> emptyList()
            reading.serving.isEmpty() -> choice.restoreAll()
            isSettled(reading) && pacing.mayRestore(nowMillis) -> choice.restoreOne()
            else -> emptyList()
        }
        val moves = if (urgent) choice.moves() else emptyList()
        val repeats = choice.repeats(nowMillis).filter { repeat -> (changes + moves).none { it.run == repeat.run } }
        val steps = (moves + changes.filter { step -> moves.none { it.run == step.run } } + repeats).take(MAX_STEPS)
        val slackSinceMillis = if (hasSlack) pacing.slackSinceMillis ?: nowMillis else null
        val updated = pacing.copy(slackSinceMillis = slackSinceMillis).after(changes, overMillis != null, nowMillis)
        val control = copy(workers = workers.put(reading.worker.id, updated))
        return Decision(steps.fold(control) { next, step -> next.sent(step, reading.worker, nowMillis) }, steps)
    }

    /** Returns the control after [answer] to an order of [percent] for [run]. */
    fun answered(run: TaskRun, percent: Int, answer: OrderAnswer, nowMillis: Long): PaceControl {
        val pace = paces[run] ?: return this
        val gone = answer == OrderAnswer.OtherIncarnation || answer == OrderAnswer.Refused(RefusalReason.OUTDATED)
        val late = answer is OrderAnswer.Unknown && !answer.notSent
        val updated = when {
            answer is OrderAnswer.Done && percent == pace.percent -> pace.copy(answered = true, failures = 0)
            answer is OrderAnswer.Done -> pace
            late -> pace.copy(failures = pace.failures + 1, repeatMillis = nowMillis + LATE_ORDER_MILLIS)
            else -> pace.copy(failures = pace.failures + 1)
        }
        // The figures of the next half second still contain time before a change that was carried out just now.
        val worker = workers[pace.worker.id]?.takeIf { updated.answered && !pace.answered }
            ?.copy(changedMillis = nowMillis)
        return copy(
            paces = if (gone) paces.remove(run) else paces.put(run, updated),
            workers = if (worker == null) workers else workers.put(pace.worker.id, worker),
        )
    }

    private fun sent(step: PaceStep, worker: WorkerRef, nowMillis: Long): PaceControl {
        if (step !is PaceStep.Order) return this
        val before = paces[step.run]?.takeIf { it.worker == worker }
        // An unanswered order for another pace may still be carried out, after this one.
        val mayBeOvertaken = before != null && !before.answered && before.percent != step.percent
        val repeatMillis = if (mayBeOvertaken) nowMillis + LATE_ORDER_MILLIS else before?.repeatMillis
        val pace = RunPace(
            worker = worker,
            percent = step.percent,
            sentMillis = nowMillis,
            failures = before?.failures ?: 0,
            repeatMillis = repeatMillis?.takeIf { it > nowMillis },
        )
        return copy(paces = paces.put(step.run, pace))
    }

    /** Returns the pacing with the times at which the [serving] tasks were below their target. */
    private fun WorkerPacing.seen(serving: List<ServingTask>, isNew: Boolean, nowMillis: Long): WorkerPacing {
        // Without an earlier figure, a task may have been over its target since its start or an earlier leader's time.
        val unseenMillis = if (isNew) urgentMillis else 0
        return copy(
            underMillis = serving.associate { task ->
                val before = underMillis[task.run] ?: (nowMillis - minOf(unseenMillis, task.ageMillis - WARM_UP_MILLIS))
                task.run to if (task.isOverTarget) before else nowMillis
            },
        )
    }

    private companion object {
        /** Share of the permitted time over the target after which all neighbours are slowed down. */
        const val URGENT_PERCENT = 40

        /** Orders for one worker in one decision; a worker has eight accelerators and seldom more spare-core tasks. */
        const val MAX_STEPS = 8

        /** Figures cover the last half second. */
        const val FIGURE_MILLIS = 500L

        /** A task that has just started is over its target for a moment in any case. */
        const val WARM_UP_MILLIS = 1_500L

        /** Time within which an unanswered order is carried out, if at all. */
        const val LATE_ORDER_MILLIS = 6_000L
    }
}

private fun WorkerPacing.mayRestore(nowMillis: Long): Boolean =
    slackSinceMillis.let { it != null && nowMillis - it >= restoreDelayMillis } &&
        nowMillis - changedMillis >= restoreDelayMillis

private fun WorkerPacing.after(changes: List<PaceStep.Order>, isOver: Boolean, nowMillis: Long): WorkerPacing = when {
    isOver && nowMillis - restoredMillis <= RESTORE_BLAME_MILLIS && changes.isNotEmpty() -> copy(
        changedMillis = nowMillis,
        restoredMillis = 0,
        restoreDelayMillis = minOf(restoreDelayMillis * 2, MAX_RESTORE_DELAY_MILLIS),
    )
    isOver && changes.isNotEmpty() -> copy(changedMillis = nowMillis)
    changes.isNotEmpty() -> copy(changedMillis = nowMillis, restoredMillis = nowMillis)
    slackSinceMillis.let { it != null && nowMillis - it >= FORGIVE_MILLIS } ->
        copy(restoreDelayMillis = MIN_RESTORE_DELAY_MILLIS)
    else -> this
}

private const val MIN_RESTORE_DELAY_MILLIS = 1_000L

/** At most one attempt in 16 s keeps the share of time over the target small where the harm does not end. */
private const val MAX_RESTORE_DELAY_MILLIS = 16_000L

/** Time in which a task that comes over its target does so because of the last restoration. */
private const val RESTORE_BLAME_MILLIS = 4_000L

/** Time with slack after which the next restoration is as quick as the first. */
private const val FORGIVE_MILLIS = 20_000L
