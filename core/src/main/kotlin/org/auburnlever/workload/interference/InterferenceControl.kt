package org.auburnlever.workload.interference

import org.auburnlever.workload.runs.LeaderState
import org.auburnlever.workload.runs.OrderAnswer
import org.auburnlever.workload.runs.StopReason
import org.auburnlever.workload.runs.WorkerOrder
import org.auburnlever.workload.runs.fencingToken
import org.auburnlever.workload.runs.stop
import org.auburnlever.workload.state.TaskRun
import org.auburnlever.workload.state.WorkloadState

/** Handles the list that a worker sent in [round]: updates the evidence, and paces tasks on spare cores. */
internal fun LeaderState.handleInterference(
    interference: Interference,
    state: WorkloadState,
    round: PollRound,
): Interference {
    val nowMillis = round.nowMillis
    val reading = round.reading(state, runs)
    val evidence = interference.evidence.observed(reading, nowMillis) { task ->
        interference.control.measuredPaceOf(task, reading)
    }
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
                order(WorkerOrder.Pace(reading.worker, fencingToken(reading.worker.id), step.run, step.percent))
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
    if (permitted) stop(run, view, StopReason.NotPaced, nowMillis)
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

/** Makes known harm count before the cores in use, of which a worker has at most some ten thousand thousandths. */
private const val HARM_WEIGHT = 1_000_000L
