package org.auburnlever.fleet

/** Limits log lines to [linesPerSecond] and counts those that are left out. */
internal class LogLimit(private val linesPerSecond: Int) {
    private var secondStartMillis = 0L
    private var lines = 0
    private var leftOut = 0

    /** Returns how many lines were left out since the last one, or null if this one has to be left out too. */
    @Synchronized
    fun admit(nowMillis: Long): Int? {
        if (nowMillis - secondStartMillis >= SECOND_MILLIS) {
            secondStartMillis = nowMillis
            lines = 0
        }
        if (lines >= linesPerSecond) {
            leftOut += 1
            return null
        }
        lines += 1
        return leftOut.also { leftOut = 0 }
    }

    private companion object {
        const val SECOND_MILLIS = 1_000L
    }
}
