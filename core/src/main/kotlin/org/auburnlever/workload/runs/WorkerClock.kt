package org.auburnlever.workload.runs

/**
 * What is known of a worker's clock, which is steady and up to 2% slow.
 *
 * Only the worker's own answers are evidence. Reports may come from others too, so they raise the estimate at most to
 * what a clock without a lag would show; [errorMillis] bounds how far it may be ahead of the worker's clock then.
 */
data class WorkerClock private constructor(
    private val answered: Reading?,
    private val estimate: Reading,
) {
    /** A clock that has not been read. */
    constructor() : this(null, Reading(0, 0))

    private data class Reading(val shownMillis: Long, val readMillis: Long) {
        /** What a clock that is as slow as permitted shows at [nowMillis]. */
        fun slowestMillis(nowMillis: Long): Long =
            shownMillis + (nowMillis - readMillis) * (PERCENT - MAX_CLOCK_LAG_PERCENT) / PERCENT
    }

    /** Whether the worker has shown its clock in an answer. */
    val isKnown: Boolean get() = answered != null

    /** Returns what the worker's clock shows at [nowMillis], or slightly less, or up to [errorMillis] more. */
    fun nowMillis(nowMillis: Long): Long = estimate.slowestMillis(nowMillis)

    /** Returns how far [nowMillis] may be ahead of the worker's clock; null if the clock is not known. */
    fun errorMillis(nowMillis: Long): Long? = answered?.let { nowMillis(nowMillis) - it.slowestMillis(nowMillis) }

    /** Returns whether the clock may show [shownMillis] now. That of a later incarnation starts anew, often lower. */
    fun permits(shownMillis: Long): Boolean = shownMillis >= estimate.shownMillis

    /** Returns the clock after an answer that showed [shownMillis] was received; answers may overtake each other. */
    fun withAnswer(shownMillis: Long, nowMillis: Long): WorkerClock {
        val newest = answered?.takeIf { it.slowestMillis(nowMillis) >= shownMillis } ?: Reading(shownMillis, nowMillis)
        return WorkerClock(newest, newest)
    }

    /** Returns the clock after a report that showed [shownMillis] was received. */
    fun withReport(shownMillis: Long, nowMillis: Long): WorkerClock {
        val read = answered ?: return this
        val raisedMillis = minOf(shownMillis, read.shownMillis + nowMillis - read.readMillis)
        return if (raisedMillis > nowMillis(nowMillis)) copy(estimate = Reading(raisedMillis, nowMillis)) else this
    }

    private companion object {
        const val PERCENT = 100

        /** The operators allow the clocks of workers to be 2% slow. */
        const val MAX_CLOCK_LAG_PERCENT = 2
    }
}
