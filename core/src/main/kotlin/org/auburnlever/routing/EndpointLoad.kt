package org.auburnlever.routing

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

/** How an attempt at an endpoint ended, as far as the endpoint's load and health are concerned. */
sealed interface AttemptEnd {
    /** The endpoint answered completely after [latencyMillis]. */
    data class Answered(val latencyMillis: Long) : AttemptEnd

    /** The endpoint answered or refused, but not as a healthy endpoint does; it no longer works on the request. */
    data object Failed : AttemptEnd

    /** The endpoint may work on the request until [untilMillis]; its slot stays taken until then. */
    data class PossiblyRunning(val untilMillis: Long) : AttemptEnd

    /** Nothing was sent. */
    data object NotSent : AttemptEnd
}

/** What this host knows about one endpoint from its own requests, since the endpoint's start at [epochMillis]. */
data class EndpointLoad(
    val epochMillis: Long,
    val inFlight: Int = 0,
    val possiblyRunningUntilMillis: PersistentList<Long> = persistentListOf(),
    val latencyMillis: Double = 0.0,
    val consecutiveFailures: Int = 0,
    val ejections: Int = 0,
    val ejectedUntilMillis: Long? = null,
) {
    /** Slots that are or may be taken by this host's requests. */
    fun occupiedSlots(nowMillis: Long): Int = inFlight + possiblyRunningUntilMillis.count { it > nowMillis }

    /** Says whether the endpoint is ejected. */
    fun isEjected(nowMillis: Long): Boolean = ejectedUntilMillis != null && nowMillis < ejectedUntilMillis

    /** Part of its limit that the endpoint may use: grows from [MIN_SLOW_START_FRACTION] to 1 after an ejection. */
    fun slowStartFraction(nowMillis: Long): Double {
        val sinceEjectionMillis = nowMillis - (ejectedUntilMillis ?: return 1.0)
        return (sinceEjectionMillis.toDouble() / SLOW_START_MILLIS).coerceIn(MIN_SLOW_START_FRACTION, 1.0)
    }

    /** Takes a slot. */
    fun startAttempt(): EndpointLoad = copy(inFlight = inFlight + 1)

    /** Gives the slot of one attempt back. */
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
        /** Failures in a row that eject an endpoint. After an ejection the next failure ejects it again. */
        const val FAILURES_TO_EJECT = 5

        /** Length of the first ejection; each further one is twice as long. */
        const val FIRST_EJECTION_MILLIS = 5_000L

        /** Longest ejection. */
        const val MAX_EJECTION_MILLIS = 60_000L

        /** Time in which an endpoint that returns reaches its full limit. */
        const val SLOW_START_MILLIS = 10_000L

        /** Part of the limit with which a slow start begins. */
        const val MIN_SLOW_START_FRACTION = 0.1

        private const val LATENCY_WEIGHT = 0.2
        private const val MAX_DOUBLINGS = 10

        /** Length of the ejection that follows [earlierEjections]. */
        fun ejectionMillis(earlierEjections: Int): Long =
            (FIRST_EJECTION_MILLIS shl earlierEjections.coerceAtMost(MAX_DOUBLINGS)).coerceAtMost(MAX_EJECTION_MILLIS)
    }
}
