package org.auburnlever.workload.interference

import org.auburnlever.workload.WorkloadLimits
import org.auburnlever.workload.runs.LeaderState
import org.auburnlever.workload.runs.OrderAnswer
import org.auburnlever.workload.runs.RunView
import org.auburnlever.workload.runs.WorkerOrder
import org.auburnlever.workload.runs.stop
import org.auburnlever.workload.state.JobPhase
import org.auburnlever.workload.state.StepSpec
import org.auburnlever.workload.state.TaskPhase
import org.auburnlever.workload.state.TaskRun
import org.auburnlever.workload.state.WorkloadState

/** What the leader knows of tasks that slow each other down, and what it has ordered; lost with the leadership. */
internal data class Interference(val evidence: InterferenceEvidence, val control: PaceControl) {
    constructor(limits: WorkloadLimits) : this(InterferenceEvidence(), PaceControl(limits))

    /** Returns the evidence for placement at [nowMillis], given the [runs] of [state]. */
    fun neighbours(state: WorkloadState, runs: Map<TaskRun, RunView>, nowMillis: Long): NeighbourEvidence {
        if (evidence.beside.isEmpty()) return NeighbourEvidence.NONE
        val steps = runs.entries.groupBy({ it.value.worker.id }, { state.stepOf(it.key) })
            .mapValues { (_, steps) -> steps.filterNotNull().filter { it.image.isNotEmpty() }.toSet() }
        val harm = HashMap<ImagePair, Int>()
        return NeighbourEvidence { step, workerId ->
            if (step.image.isEmpty()) return@NeighbourEvidence 0
            steps[workerId].orEmpty().filter { it.usesSpareCores != step.usesSpareCores }.maxOfOrNull { other ->
                val pair = if (step.usesSpareCores) ImagePair(other.image, step.image) else ImagePair(step.image, other.image)
                harm.getOrPut(pair) { evidence.harmPercent(pair.image, pair.neighbour, nowMillis) }
            } ?: 0
        }
    }
}

/**
 * Handles the newest list of the worker that [order] polled: updates the evidence, and paces tasks on spare cores.
 *
 * [before] holds the runs before the list, for their progress since then.
 */
internal fun LeaderState.handleInterference(
    interference: Interference,
    state: WorkloadState,
    order: WorkerOrder.Poll,
    before: Map<TaskRun, RunView>,
    sentMillis: Long,
    nowMillis: Long,
): Interference {
    val reading = reading(state, order, before, sentMillis, nowMillis)
    val evidence = interference.evidence.observed(reading, nowMillis) { interference.control.measuredPaceOf(it, reading) }
    logNotice(interference.evidence, evidence, reading, nowMillis)
    if (reading.spare.isEmpty()) return interference.copy(evidence = evidence)
    val images = reading.serving.map { it.image }.toSet()
    val decision = interference.control.decide(reading, nowMillis) { task ->
        val harm = images.maxOfOrNull { evidence.harmPercent(it, task.image, nowMillis) } ?: 0
        harm * HARM_WEIGHT + (task.milliCores ?: task.neededMilliCores)
    }
    for (step in decision.steps) {
        when (step) {
            is PaceStep.Order -> {
                order(WorkerOrder.Pace(reading.worker, term, step.run, step.percent))
                logDecision(
                    if (step.repeated) "pace_repeated" else "task_paced",
                    step.run.toString(),
                    "worker" to reading.worker.id,
                    "percent" to step.percent,
                    "serving" to reading.serving.maxByOrNull { it.strainPercent }?.run?.toString(),
                    "strainPercent" to reading.serving.maxOfOrNull { it.strainPercent },
                )
            }
            is PaceStep.Move -> moveUnpaced(state, step.run, nowMillis)
        }
    }
    return interference.copy(evidence = evidence, control = decision.control)
}

/** Handles the answer to an order of a pace. */
internal fun LeaderState.handlePaceAnswer(
    interference: Interference,
    order: WorkerOrder.Pace,
    answer: OrderAnswer,
    nowMillis: Long,
): Interference {
    if (answer !is OrderAnswer.Done) {
        logDecision("pace_unconfirmed", order.run.toString(), "worker" to order.worker.id, "answer" to "$answer")
    }
    return interference.copy(control = interference.control.answered(order.run, order.percent, answer, nowMillis))
}

/** Returns the workers whose serving tasks have little slack, which are polled more often. */
internal fun LeaderState.watchedWorkers(interference: Interference): Set<String> =
    workers.keys.filterTo(HashSet()) { interference.control.watches(it) }

private fun LeaderState.moveUnpaced(state: WorkloadState, run: TaskRun, nowMillis: Long) {
    val view = runs[run]
    val job = state.jobs[run.task.job]
    if (view == null || job == null || view.stopSentMillis != null) return
    val permitted = StopAllowance(runs, workers, electedMillis, limits, nowMillis).permits(job, run)
    val event = if (permitted) "task_moved" else "move_withheld"
    logDecision(event, run.toString(), "worker" to view.worker.id, "reason" to "its pace can't be ordered")
    if (permitted) stop(run, view, nowMillis)
}

private fun LeaderState.reading(
    state: WorkloadState,
    order: WorkerOrder.Poll,
    before: Map<TaskRun, RunView>,
    sentMillis: Long,
    nowMillis: Long,
): WorkerReading {
    val delayed = nowMillis - sentMillis > order.waitMillis + DELAYED_MILLIS
    val serving = ArrayList<ServingTask>()
    val spare = ArrayList<SpareCoreTask>()
    val others = ArrayList<WorkingTask>()
    val listed = runs.filterValues {
        it.worker == order.worker && it.listedMillis == nowMillis && it.stopSentMillis == null
    }
    for ((run, view) in listed) {
        val step = state.stepOf(run) ?: continue
        val ageMillis = nowMillis - view.startedMillis
        when {
            step.usesSpareCores ->
                spare += SpareCoreTask(run, step.image, step.need.milliCores, view.figure, view.adopted)
            step.targetMillis > 0 ->
                view.figure?.let { serving += ServingTask(run, step.image, step.targetMillis, it, ageMillis) }
            !step.longRunning ->
                before[run]?.progressPerMinute(view)?.let { others += WorkingTask(run, step.image, it, ageMillis) }
        }
    }
    val measuredMillis = if (delayed) sentMillis else maxOf(sentMillis, nowMillis - TRANSIT_MILLIS)
    return WorkerReading(order.worker, serving, spare, others, measuredMillis, delayed)
}

/** Returns the progress between two lists, or null if they are too close or too far apart to tell. */
private fun RunView.progressPerMinute(later: RunView): Int? {
    val fromMillis = listedMillis ?: return null
    val elapsedMillis = (later.listedMillis ?: return null) - fromMillis
    val usable = elapsedMillis in MIN_PROGRESS_MILLIS..MAX_PROGRESS_MILLIS && later.percent >= percent
    return if (usable) ((later.percent - percent) * MINUTE_MILLIS / elapsedMillis).toInt() else null
}

private fun LeaderState.logNotice(
    earlier: InterferenceEvidence,
    evidence: InterferenceEvidence,
    reading: WorkerReading,
    nowMillis: Long,
) {
    if (evidence === earlier) return
    val images = (reading.serving.map { it.image } + reading.others.map { it.image }).toSet()
    for (image in images) {
        for (neighbour in reading.spare.map { it.image }.toSet()) {
            val harm = evidence.harmPercent(image, neighbour, nowMillis)
            if (harm > 0 && earlier.harmPercent(image, neighbour, nowMillis) == 0) {
                logDecision(
                    "interference_noticed",
                    image,
                    "neighbour" to neighbour,
                    "harmPercent" to harm,
                    "worker" to reading.worker.id,
                    "workerExcessPercent" to evidence.workerExcessPercent(reading.worker.id, nowMillis),
                )
            }
        }
    }
}

private fun WorkloadState.stepOf(run: TaskRun): StepSpec? {
    val job = jobs[run.task.job]?.takeIf { it.phase == JobPhase.ACTIVE } ?: return null
    val task = job.task(run.task)
    val current = task?.phase == TaskPhase.ASSIGNED && task.run == run.run
    return if (current) job.spec.steps.getOrNull(run.task.step) else null
}

/** Makes known harm count before the cores in use, of which a worker has at most some ten thousand thousandths. */
private const val HARM_WEIGHT = 1_000_000L

/** An answer later than this after the poll's wait has crossed a degraded link or comes from an overloaded host. */
private const val DELAYED_MILLIS = 400L

/** Longest time that an answer on a healthy link takes, with 20 ms between regions and a busy receiver. */
private const val TRANSIT_MILLIS = 150L

private const val MIN_PROGRESS_MILLIS = 400L
private const val MAX_PROGRESS_MILLIS = 4_000L
private const val MINUTE_MILLIS = 60_000L
