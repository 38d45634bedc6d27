package org.auburnlever.routing

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

/** How an attempt ended, as far as the load and health of its endpoint are concerned. */
sealed interface AttemptEnd {
    /** The endpoint sent a complete answer after [latencyMillis]. */
    data class Answered(val latencyMillis: Long) : AttemptEnd

    /** The endpoint answered or refused in a way that counts as unhealthy; it no longer works on the request. */
    data object Failed : AttemptEnd

    /** The endpoint may still work on the request until [untilMillis]; the slot stays occupied until then. */
    data class PossiblyRunning(val untilMillis: Long) : AttemptEnd

    /** The request was not sent. */
    data object NotSent : AttemptEnd
}

/** Load and health of an endpoint as seen in this host's own requests since the endpoint's start at [epochMillis]. */
data class EndpointLoad(
    val epochMillis: Long,
    val inFlight: Int = 0,
    val possiblyRunningUntilMillis: PersistentList<Long> = persistentListOf(),
    val latencyMillis: Double = 0.0,
    val consecutiveFailures: Int = 0,
    val ejections: Int = 0,
    val ejectedUntilMillis: Long? = null,
) {
    /** Returns the number of slots that requests of this host occupy or may still occupy. */
    fun occupiedSlots(nowMillis: Long): Int = inFlight + possiblyRunningUntilMillis.count { it > nowMillis }

    /** Says whether the endpoint is ejected. */
    fun isEjected(nowMillis: Long): Boolean = ejectedUntilMillis != null && nowMillis < ejectedUntilMillis

    /** Returns the usable fraction of the limit, which grows from [MIN_SLOW_START_FRACTION] to 1 after an ejection. */
    fun slowStartFraction(nowMillis: Long): Double {
        val sinceEjectionMillis = nowMillis - (ejectedUntilMillis ?: return 1.0)
        return (sinceEjectionMillis.toDouble() / SLOW_START_MILLIS).coerceIn(MIN_SLOW_START_FRACTION, 1.0)
    }

    /** Occupies a slot for a new attempt. */
    fun startAttempt(): EndpointLoad = copy(inFlight = inFlight + 1)

    /** Releases the slot of an attempt and updates latency and health by how it ended. */
    fun endAttempt(end: AttemptEnd, nowMillis: Long): EndpointLoad {
        val freed = copy(
            inFlight = inFlight - 1,
            possiblyRunningUntilMillis = possiblyRunningUntilMillis.filter { it > nowMillis }.toPersistentList(),
        )
        return when (end) {
            is AttemptEnd.Answered -> freed.recordSuccess(end.latencyMillis, nowMillis)
            is AttemptEnd.Failed -> freed.recordFailure(nowMillis)
            is AttemptEnd.PossiblyRunning -> freed.copy(
                possiblyRunningUntilMillis = freed.possiblyRunningUntilMillis.add(end.untilMillis),
            ).recordFailure(nowMillis)
            is AttemptEnd.NotSent -> freed
        }
    }

    private fun recordSuccess(attemptMillis: Long, nowMillis: Long): EndpointLoad {
        val smoothed = latencyMillis + (attemptMillis - latencyMillis) * LATENCY_WEIGHT
        val recovered = slowStartFraction(nowMillis) >= 1.0
        return copy(
            latencyMillis = if (latencyMillis == 0.0) attemptMillis.toDouble() else smoothed,
            consecutiveFailures = 0,
            ejections = if (recovered) 0 else ejections,
            ejectedUntilMillis = if (recovered) null else ejectedUntilMillis,
        )
    }

    private fun recordFailure(nowMillis: Long): EndpointLoad {
        val failures = consecutiveFailures + 1
        return when {
            failures < FAILURES_TO_EJECT || isEjected(nowMillis) -> copy(consecutiveFailures = failures)
            else -> copy(
                consecutiveFailures = failures,
                ejections = ejections + 1,
                ejectedUntilMillis = nowMillis + ejectionMillis(ejections),
            )
        }
    }

    companion object {
        /** Consecutive failures that eject an endpoint. After an ejection, a single failure ejects it again. */
        const val FAILURES_TO_EJECT = 5

        /** Duration of the first ejection; it doubles with each further one. */
        const val FIRST_EJECTION_MILLIS = 5_000L

        /** Upper bound for the duration of an ejection. */
        const val MAX_EJECTION_MILLIS = 60_000L

        /** Time after an ejection until the full limit is usable again. */
        const val SLOW_START_MILLIS = 10_000L

        /** Fraction of the limit that is usable at the beginning of a slow start. */
        const val MIN_SLOW_START_FRACTION = 0.1

        private const val LATENCY_WEIGHT = 0.2
        private const val MAX_DOUBLINGS = 10

        /** Returns the duration of the ejection that follows [earlierEjections] earlier ones. */
        fun ejectionMillis(earlierEjections: Int): Long =
            (FIRST_EJECTION_MILLIS shl earlierEjections.coerceAtMost(MAX_DOUBLINGS)).coerceAtMost(MAX_EJECTION_MILLIS)
    }
}
