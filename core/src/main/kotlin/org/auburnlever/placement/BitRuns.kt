package org.auburnlever.placement

/** Calls [action] with start and length of each run of set bits of [mask], from the lowest. */
internal inline fun forEachRun(mask: Long, action: (start: Int, length: Int) -> Unit) {
    var rest = mask
    while (rest != 0L) {
        val start = java.lang.Long.numberOfTrailingZeros(rest)
        val length = java.lang.Long.numberOfTrailingZeros((rest ushr start).inv())
        action(start, length)
        rest = rest and runMask(start, length).inv()
    }
}

/** Mask of [length] bits from [start]. */
internal fun runMask(start: Int, length: Int): Long =
    if (length >= Long.SIZE_BITS) -1L else ((1L shl length) - 1) shl start

/** How many runs of [length] fit into [mask] side by side. */
internal fun countRuns(mask: Long, length: Int): Int {
    var count = 0
    forEachRun(mask) { _, run -> count += run / length }
    return count
}

/**
 * Start of the best place for a run of [length] in [mask]: the fewest bits of [avoid], then the shortest run that holds
 * it, so that long runs stay whole; -1 without one.
 */
internal fun bestRun(mask: Long, length: Int, avoid: Long): Int {
    var best = -1
    var bestCost = Int.MAX_VALUE
    forEachRun(mask) { start, run ->
        if (run >= length) {
            val low = runCost(start, length, run, avoid)
            val high = runCost(start + run - length, length, run, avoid)
            if (low < bestCost) {
                best = start
                bestCost = low
            }
            if (high < bestCost) {
                best = start + run - length
                bestCost = high
            }
        }
    }
    return best
}

private fun runCost(start: Int, length: Int, run: Int, avoid: Long): Int =
    java.lang.Long.bitCount(runMask(start, length) and avoid) * Long.SIZE_BITS + run
