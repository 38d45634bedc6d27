package org.auburnlever.placement

/** Calls [action] with start and length of each run of consecutive set bits of [mask], from the lowest. */
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

/** Number of disjoint runs of [length] that fit into the set bits of [mask]. */
internal fun countRuns(mask: Long, length: Int): Int {
    var count = 0
    forEachRun(mask) { _, run -> count += run / length }
    return count
}

/**
 * Start of the best run of [length] within the set bits of [mask], or -1 if there is none.
 *
 * Prefers the fewest bits of [avoid], then the shortest free run that holds it, so that long free runs are kept.
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
