package org.auburnlever.workload.preemption

import org.auburnlever.workload.planning.URGENT
import org.auburnlever.workload.state.JobRecord
import org.auburnlever.workload.state.Resources
import kotlin.math.sqrt

/**
 * Forecasts how much room urgent jobs that have not arrived yet will need.
 *
 * Load pattern: bursts of up to 2.6 times the load last 3 to 4 s. The periodic variation of each failure domain evens
 * out over the fleet; a wave fitted to the arrivals showed no gain in replays. The forecast is computed from the
 * acceptance times in the replicated state, which keeps ended jobs for more than a minute, so that a new leader has it
 * at once. The state does not tell the failure domain that a job came from, so there is one forecast for each queue.
 */
internal class UrgentForecast private constructor(private val queues: List<QueueDemand>) {
    /** Returns the resources that urgent jobs which arrive from [fromMillis] to [toMillis] will need together. */
    fun arriving(fromMillis: Long, toMillis: Long): Resources =
        queues.map { it.arriving(fromMillis, toMillis) }.fold(Resources.NONE, Resources::plus)

    companion object {
        /** Makes the forecast from the urgent jobs among [jobs] that were accepted before [nowMillis]. */
        fun of(jobs: Collection<JobRecord>, nowMillis: Long): UrgentForecast {
            val recent = jobs.filter {
                it.policy.priority == URGENT && it.spec.repetitions == 0 &&
                    nowMillis - it.acceptedMillis < WINDOW_MILLIS
            }
            return UrgentForecast(recent.groupBy { it.queue }.values.map { QueueDemand.of(it, nowMillis) })
        }

        /** Covers several periods of the variation, so that it does not shift the level. */
        private const val WINDOW_MILLIS = 75_000L
    }
}

/** The demand of one queue: [needOfJob] is the mean need of a job, and [perSecond] the mean number that arrive. */
private class QueueDemand(private val needOfJob: Resources, private val perSecond: Double, private val burst: Burst) {
    fun arriving(fromMillis: Long, toMillis: Long): Resources {
        val middleMillis = (fromMillis + toMillis) / 2
        val count = perSecond * burst.factorAt(middleMillis) * (toMillis - fromMillis) / MILLIS_PER_SECOND
        return Resources(
            (needOfJob.milliCores * count).toLong(),
            (needOfJob.memoryMiB * count).toLong(),
            (needOfJob.accelerators * count).toInt(),
        )
    }

    companion object {
        fun of(jobs: List<JobRecord>, nowMillis: Long): QueueDemand {
            val spanMillis = maxOf(MIN_SPAN_MILLIS, nowMillis - jobs.minOf { it.acceptedMillis })
            val counts = DoubleArray((spanMillis / BIN_MILLIS).toInt())
            for (job in jobs) {
                val bin = ((nowMillis - job.acceptedMillis) / BIN_MILLIS).toInt()
                if (bin in counts.indices) counts[bin] += MILLIS_PER_SECOND / BIN_MILLIS
            }
            val perSecond = counts.average()
            val total = jobs.map { it.largestStepNeed() }.fold(Resources.NONE, Resources::plus)
            val mean = Resources(
                total.milliCores / jobs.size,
                total.memoryMiB / jobs.size,
                total.accelerators / jobs.size,
            )
            return QueueDemand(mean, perSecond, Burst.detected(counts, perSecond, nowMillis))
        }
    }
}

/** Returns what the largest step of the job needs at the same time. */
private fun JobRecord.largestStepNeed(): Resources =
    spec.steps.map { it.reserved * it.taskCount }.maxBy { it.weightMilliCores }

/** A burst that multiplies the arrivals by [factor] until [untilMillis]. */
private class Burst(val factor: Double, val untilMillis: Long) {
    fun factorAt(millis: Long): Double = if (millis < untilMillis) factor else 1.0

    companion object {
        /** Detects a burst: more arrivals in the last second than the mean and its random variation explain. */
        fun detected(counts: DoubleArray, perSecond: Double, nowMillis: Long): Burst {
            val recent = counts.take((MILLIS_PER_SECOND / BIN_MILLIS).toInt()).average()
            val expected = maxOf(perSecond, 1.0)
            val isBurst = recent > expected + SIGNIFICANT_ERRORS * sqrt(expected)
            return if (isBurst) {
                Burst(minOf(recent / expected, MAX_FACTOR), nowMillis + REST_MILLIS)
            } else {
                Burst(1.0, 0)
            }
        }

        private const val SIGNIFICANT_ERRORS = 2.0

        /** Bursts are 1.7 to 2.6 times the load. */
        private const val MAX_FACTOR = 2.6

        /** A burst of 3 to 4 s is detected within its first second or two. */
        private const val REST_MILLIS = 2_000L
    }
}

private const val MILLIS_PER_SECOND = 1_000.0
private const val BIN_MILLIS = 500L

/** Shorter spans say little about the level. */
private const val MIN_SPAN_MILLIS = 3_000L
