package org.auburnlever.workload.learning

import org.auburnlever.workload.SchedulingFeature
import org.auburnlever.workload.runs.LeaderState
import kotlin.math.exp
import kotlin.math.roundToInt
import kotlin.math.roundToLong
import kotlin.math.sqrt

/** Logs what is known of the durations of each queue and of the speeds of the workers, if plans use it. */
internal fun LeaderState.logLearnedDurations(learned: LearnedDurations, features: Set<SchedulingFeature>) {
    if (SchedulingFeature.LEARNED_DURATIONS !in features) return
    learned.queues.entries.sortedByDescending { it.value.updatedMillis }.take(MAX_LOGGED_QUEUES)
        .forEach { (name, queue) ->
            logDecision(
                "durations_learned",
                name,
                "samples" to queue.samples,
                "typicalMillis" to exp(queue.mean).roundToLong(),
                "errorPercent" to percent(sqrt(queue.squaredError)),
                "declaredErrorPercent" to percent(sqrt(queue.declaredSquaredError)),
                "declaredWeightPercent" to percent(queue.declaredWeight),
                "stepErrorPercent" to percent(sqrt(queue.expectedStepVariance)),
            )
        }
    val percents = learned.speeds.values.map { percent(exp(it.expected)) }.sorted()
    if (percents.isEmpty()) return
    logDecision(
        "worker_speeds",
        "${percents.size}",
        "slowestPercent" to percents.first(),
        "medianPercent" to percents[percents.size / 2],
        "fastestPercent" to percents.last(),
    )
}

private fun percent(part: Double): Int = (part * TYPICAL_PERCENT).roundToInt()

/** Bounds the lines of one summary. */
private const val MAX_LOGGED_QUEUES = 8
