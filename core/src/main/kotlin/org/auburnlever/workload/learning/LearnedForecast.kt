package org.auburnlever.workload.learning

import org.auburnlever.workload.SchedulingFeature
import org.auburnlever.workload.state.JobRecord
import org.auburnlever.workload.state.WorkloadState
import java.util.IdentityHashMap
import kotlin.math.exp
import kotlin.math.roundToInt
import kotlin.math.roundToLong
import kotlin.math.sqrt

/**
 * The forecast from [learned] for one plan; each job is computed once.
 *
 * Load pattern: declared durations are good in one queue and useless in another, and jobs of one queue differ. The
 * forecast of the queue is combined with the runs of the same step that have ended, each weighed by its error.
 */
class LearnedForecast(private val learned: LearnedDurations) : DurationForecast {
    private class StepForecast(val millis: Long, val spread: Double)

    private class JobForecast(val steps: List<StepForecast>, val criticalPathMillis: Long)

    private val jobs = IdentityHashMap<JobRecord, JobForecast>()
    private val percents = HashMap<String, Int>()

    override fun taskMillis(job: JobRecord, step: Int): Long = forecast(job).steps[step].millis

    override fun taskSpread(job: JobRecord, step: Int): Double = forecast(job).steps[step].spread

    override fun criticalPathMillis(job: JobRecord): Long = forecast(job).criticalPathMillis

    override fun speedPercent(workerId: String): Int = percents.getOrPut(workerId) {
        (exp(learned.logSpeed(workerId)) * TYPICAL_PERCENT).roundToInt()
    }

    private fun forecast(job: JobRecord): JobForecast = jobs.getOrPut(job) {
        val steps = job.spec.steps.indices.map { stepForecast(job, it) }
        JobForecast(steps, job.spec.longestChainMillis { steps[it].millis })
    }

    private fun stepForecast(job: JobRecord, index: Int): StepForecast {
        val declaredMillis = job.spec.steps[index].estimatedMillis
        val queue = learned.queues[job.queue] ?: QueueDurations()
        val runs = job.measuredRuns(index)
        val hasSamples = queue.samples > 0 || runs.isNotEmpty()
        if (job.spec.steps[index].longRunning || !hasSamples) {
            return StepForecast(declaredMillis, sqrt(queue.errorVariance))
        }
        val declared = declaredMillis.takeIf { it > 0 }?.let { logOf(it) }
        val prior = queue.forecast(declared, job.account?.value)
        val priorPrecision = if (prior == null) 0.0 else 1 / queue.errorVariance
        val runsPrecision = if (runs.isEmpty()) 0.0 else 1 / (queue.expectedStepVariance / runs.size + EARLY_VARIANCE)
        val runsMean = if (runs.isEmpty()) 0.0 else runs.sumOf { it.typicalLog(learned) } / runs.size
        val precision = priorPrecision + runsPrecision
        val log = ((prior ?: 0.0) * priorPrecision + runsMean * runsPrecision) / precision
        return StepForecast(maxOf(1, exp(log).roundToLong()), sqrt(1 / precision))
    }

    private fun JobRecord.measuredRuns(step: Int): List<MeasuredRun> =
        occurrences.values.firstOrNull { it[step].measured.isNotEmpty() }?.get(step)?.measured.orEmpty()

    private companion object {
        /** The first runs of a step to end are the short ones, so even many of them may be off by about 10%. */
        const val EARLY_VARIANCE = 0.01
    }
}

/** Returns the forecast to plan with: the learned one if [features] has it, otherwise the declared durations. */
internal fun WorkloadState.durations(features: Set<SchedulingFeature>): DurationForecast =
    if (SchedulingFeature.LEARNED_DURATIONS in features) LearnedForecast(learned) else DeclaredDurations

/** Returns the job with the durations that this forecast expects in place of the declared ones. */
internal fun DurationForecast.declaredFor(job: JobRecord): JobRecord {
    if (this === DeclaredDurations) return job
    val steps = job.spec.steps.mapIndexed { index, step -> step.copy(estimatedMillis = taskMillis(job, index)) }
    return job.copy(spec = job.spec.copy(steps = steps))
}
