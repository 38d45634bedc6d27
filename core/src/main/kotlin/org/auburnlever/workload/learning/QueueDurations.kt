package org.auburnlever.workload.learning

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.Serializable
import org.auburnlever.codec.PersistentMapSerializer

/**
 * What ended steps of one queue showed about the durations of its tasks.
 *
 * All durations are natural logarithms of milliseconds, and all means decay with the number of samples. A forecast is a
 * linear regression of the real duration on the declared one. Its slope weighs the declared duration by its error
 * against the spread of the queue: near 1 if declared durations are good, near 0 if they say nothing.
 *
 * @property samples number of samples that count, at most [MAX_SAMPLES]
 * @property mean mean of the real durations, without outliers
 * @property declaredMean mean of the declared durations
 * @property declaredVariance variance of the declared durations
 * @property covariance covariance of the real and the declared durations
 * @property squaredError mean square of the error of forecasts made before their run ended, without outliers
 * @property declaredSquaredError the same for declared durations
 * @property stepSamples number of steps that [stepVariance] comes from, at most [MAX_SAMPLES]
 * @property stepVariance variance of the tasks of one step
 * @property accounts deviation of each client account from the queue
 */
@Serializable
data class QueueDurations(
    val samples: Int = 0,
    val mean: Double = 0.0,
    val declaredMean: Double = 0.0,
    val declaredVariance: Double = 0.0,
    val covariance: Double = 0.0,
    val squaredError: Double = 0.0,
    val declaredSquaredError: Double = 0.0,
    val stepSamples: Int = 0,
    val stepVariance: Double = 0.0,
    @Serializable(PersistentMapSerializer::class)
    val accounts: PersistentMap<String, AccountDeviation> = persistentMapOf(),
    override val updatedMillis: Long = 0,
) : Aging {
    /** Weight of the declared duration in a forecast, from 0 to 1. */
    val declaredWeight: Double
        get() = ((covariance * samples + PRIOR_VARIANCE_SUM) / (declaredVariance * samples + PRIOR_VARIANCE_SUM))
            .coerceIn(0.0, 1.0)

    /** Expected variance of the error of a forecast. */
    val errorVariance: Double
        get() = (squaredError * samples + PRIOR_ERROR_VARIANCE * PRIOR_SAMPLES) / (samples + PRIOR_SAMPLES)

    /** Expected variance of the tasks of one step around the step's mean. */
    val expectedStepVariance: Double
        get() = (stepVariance * stepSamples + PRIOR_STEP_VARIANCE * PRIOR_SAMPLES) / (stepSamples + PRIOR_SAMPLES)

    /** Returns the forecast for a task of [account] that was declared as [declared]; null for no declared duration. */
    fun forecast(declared: Double?, account: String?): Double? =
        queueForecast(declared)?.let { it + (accounts[account]?.expected ?: 0.0) }

    private fun queueForecast(declared: Double?): Double? {
        if (samples == 0) return declared
        val center = declaredMean + (mean - declaredMean) * samples / (samples + PRIOR_SAMPLES)
        return if (declared == null) center else center + declaredWeight * (declared - declaredMean)
    }

    /** Returns the record after a step of [account] was declared as [declared] and took [real]. */
    internal fun withSample(real: Double, declared: Double?, account: String?, nowMillis: Long): QueueDurations {
        val known = declared ?: if (samples > 0) declaredMean else real
        val forecast = queueForecast(known) ?: known
        // A heavy tail must not move the mean: the error counts up to a multiple of its usual size only.
        val bound = OUTLIER_DEVIATIONS * StrictMath.sqrt(errorVariance)
        val error = (real - forecast).coerceIn(-bound, bound)
        val accountError = (error - (accounts[account]?.expected ?: 0.0)).coerceIn(-bound, bound)
        val count = minOf(samples + 1, MAX_SAMPLES)
        val part = 1.0 / count
        val realDelta = forecast + error - mean
        val declaredDelta = known - declaredMean
        val updated = copy(
            samples = count,
            mean = mean + part * realDelta,
            declaredMean = declaredMean + part * declaredDelta,
            declaredVariance = decayedProduct(declaredVariance, declaredDelta * declaredDelta, count),
            covariance = decayedProduct(covariance, realDelta * declaredDelta, count),
            squaredError = squaredError + part * (accountError * accountError - squaredError),
            declaredSquaredError = declaredSquaredError +
                part * ((forecast + error - known).let { it * it } - declaredSquaredError),
            updatedMillis = nowMillis,
        )
        if (account == null) return updated
        // Measured from the updated mean, so that the first errors of the queue are not taken for the account's.
        val deviation = forecast + error - updated.mean - updated.declaredWeight * (known - updated.declaredMean)
        return updated.copy(accounts = accounts.withDeviation(account, deviation, nowMillis))
    }

    /** Returns the record after the tasks of one step had the variance [variance]. */
    internal fun withStepVariance(variance: Double): QueueDurations {
        val count = minOf(stepSamples + 1, MAX_SAMPLES)
        return copy(stepSamples = count, stepVariance = stepVariance + (variance - stepVariance) / count)
    }

    // Incremental form of a variance or covariance whose newest sample has the weight 1 / count.
    private fun decayedProduct(current: Double, product: Double, count: Int): Double =
        (1.0 - 1.0 / count) * (current + product / count)

    private fun PersistentMap<String, AccountDeviation>.withDeviation(account: String, error: Double, nowMillis: Long) =
        putBounded(account, (this[account] ?: AccountDeviation()).with(error, nowMillis), MAX_ACCOUNTS)

    companion object {
        /** A queue with few jobs sends one or two in a second, so its record follows a change within half a minute. */
        const val MAX_SAMPLES = 40

        /** Number of accounts that a queue keeps; the design is for 120. */
        const val MAX_ACCOUNTS = 256

        /** Samples after which the queue's mean counts as much as the declared durations. */
        private const val PRIOR_SAMPLES = 3

        /** Sum of squares that stands for declared durations being right; a few samples with a spread of 30%. */
        private const val PRIOR_VARIANCE_SUM = 0.4

        /** Before the first samples, declared durations count as off by 60%. */
        private const val PRIOR_ERROR_VARIANCE = 0.36

        /** Before the first samples, the tasks of a step count as differing by 20%. */
        private const val PRIOR_STEP_VARIANCE = 0.04
        private const val OUTLIER_DEVIATIONS = 2.0
    }
}

/**
 * How far the durations of one client account deviate from the forecasts of a queue.
 *
 * @property samples number of samples that count, at most the same as for a queue
 * @property mean mean deviation, as a natural logarithm
 */
@Serializable
data class AccountDeviation(
    val samples: Int = 0,
    val mean: Double = 0.0,
    override val updatedMillis: Long = 0,
) : Aging {
    /** The deviation to expect; small while there are few samples. */
    val expected: Double get() = mean * samples / (samples + PRIOR_SAMPLES)

    internal fun with(error: Double, nowMillis: Long): AccountDeviation {
        val count = minOf(samples + 1, QueueDurations.MAX_SAMPLES)
        return AccountDeviation(count, mean + (error - mean) / count, nowMillis)
    }

    private companion object {
        /** Jobs of one account differ by 30 to 50%, so their mean says little before about ten of them. */
        const val PRIOR_SAMPLES = 10
    }
}

/** A record that is evicted when it is the one that has not been updated for longest. */
interface Aging {
    /** Time of the newest sample. */
    val updatedMillis: Long
}

/** Returns the map with [value] under [key], without its oldest record if it would have more than [limit] keys. */
internal fun <V : Aging> PersistentMap<String, V>.putBounded(
    key: String,
    value: V,
    limit: Int,
): PersistentMap<String, V> {
    val oldest = if (key in this || size < limit) null else entries.minByOrNull { it.value.updatedMillis }?.key
    return (if (oldest == null) this else remove(oldest)).put(key, value)
}
