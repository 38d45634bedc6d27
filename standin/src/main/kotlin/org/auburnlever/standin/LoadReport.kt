package org.auburnlever.standin

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.HdrHistogram.Histogram
import java.util.Locale

/** Latencies of completed requests in milliseconds, measured from the planned time of sending. */
@Serializable
data class LatencySummary(val count: Long, val p50Millis: Double, val p99Millis: Double, val maxMillis: Double)

/**
 * Result of a load run.
 *
 * [goodputPerSecond] counts complete and correct answers within the timeout. [outcomes] counts every request once, by
 * outcome and error code.
 */
@Serializable
data class LoadReport(
    val requests: Int,
    val seconds: Double,
    val goodputPerSecond: Double,
    val all: LatencySummary,
    val urgent: LatencySummary,
    val routine: LatencySummary,
    val outcomes: Map<String, Int>,
) {
    /** Returns the report as one JSON object. */
    fun toJson(): String = Json.encodeToString(serializer(), this)

    /** Returns the report as lines of text. */
    fun toText(): String = buildString {
        appendLine("requests $requests in ${seconds.oneDecimal()} s, goodput ${goodputPerSecond.oneDecimal()}/s")
        appendLine("all      ${all.line()}")
        appendLine("urgent   ${urgent.line()}")
        appendLine("routine  ${routine.line()}")
        outcomes.toSortedMap().forEach { (label, count) -> appendLine("$label: $count") }
    }

    private fun LatencySummary.line(): String =
        "$count completed, p50 ${p50Millis.oneDecimal()} ms, p99 ${p99Millis.oneDecimal()} ms, " +
            "max ${maxMillis.oneDecimal()} ms"

    private fun Double.oneDecimal(): String = String.format(Locale.ROOT, "%.1f", this)
}

/** Collects the results of a load run; used by one thread at a time. */
internal class LoadRecorder {
    private val urgent = Histogram(SIGNIFICANT_DIGITS)
    private val routine = Histogram(SIGNIFICANT_DIGITS)
    private val outcomes = HashMap<String, Int>()

    /** Counts a request that ended as [outcomeLabel]; [latencyNanos] is recorded only for completed requests. */
    fun add(outcomeLabel: String, isUrgent: Boolean, latencyNanos: Long) {
        outcomes.merge(outcomeLabel, 1, Int::plus)
        if (outcomeLabel == COMPLETED) (if (isUrgent) urgent else routine).recordValue(latencyNanos / NANOS_PER_MICRO)
    }

    /** Returns the report of a run that took [seconds]. */
    fun report(seconds: Double): LoadReport {
        val all = urgent.copy().apply { add(routine) }
        return LoadReport(
            requests = outcomes.values.sum(),
            seconds = seconds,
            goodputPerSecond = if (seconds > 0) all.totalCount / seconds else 0.0,
            all = all.summary(),
            urgent = urgent.summary(),
            routine = routine.summary(),
            outcomes = outcomes.toMap(),
        )
    }

    private fun Histogram.summary() = LatencySummary(
        count = totalCount,
        p50Millis = getValueAtPercentile(MEDIAN) / MICROS_PER_MILLI,
        p99Millis = getValueAtPercentile(NINETY_NINE) / MICROS_PER_MILLI,
        maxMillis = maxValue / MICROS_PER_MILLI,
    )

    companion object {
        /** Outcome label of a request whose answer is complete and belongs to it. */
        const val COMPLETED = "completed"

        private const val SIGNIFICANT_DIGITS = 3
        private const val NANOS_PER_MICRO = 1_000L
        private const val MICROS_PER_MILLI = 1_000.0
        private const val MEDIAN = 50.0
        private const val NINETY_NINE = 99.0
    }
}
