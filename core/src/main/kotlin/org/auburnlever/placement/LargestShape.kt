package org.auburnlever.placement

import org.auburnlever.ledger.LedgerState
import org.auburnlever.ledger.isRetentionExpired
import org.auburnlever.model.Shape
import org.auburnlever.model.Spread

private val NEUTRAL_WEIGHTS = Weights(completionTime = 1.0, fragmentation = 1.0)

/**
 * The largest reduction of [shape] that the known workers could run if they were empty; [shape] itself if it fits.
 *
 * Lost, suspended and draining workers count, since they usually return.
 */
internal fun LedgerState.largestPossible(shape: Shape): Shape {
    val capacity = Capacity.total(workers.values.filter { !it.isRetentionExpired(timeMillis) }, NEUTRAL_WEIGHTS)
    return if (capacity.findPlacement(shape) != null) shape else capacity.largest(shape)
}

private fun Capacity.largest(shape: Shape): Shape {
    val perTask = minOf(shape.acceleratorsPerTask, workers.maxOfOrNull { it.allMask.countOneBits() } ?: 0)
    val cores = minOf(shape.coresPerTask.toLong(), workers.maxOfOrNull { it.freeCores } ?: 0)
    val memoryMiB = minOf(shape.memoryMiBPerTask, workers.maxOfOrNull { it.freeMemoryMiB } ?: 0)
    val bounded = shape.copy(
        acceleratorsPerTask = perTask,
        coresPerTask = cores.toInt(),
        memoryMiBPerTask = memoryMiB,
    )
    return bounded.copy(taskCount = largestCount(bounded))
}

/** Largest number of tasks that fit; found by bisection, as whether a shape fits is monotone in that number. */
private fun Capacity.largestCount(shape: Shape): Int {
    var low = 0
    var high = shape.taskCount
    while (low < high) {
        val middle = (low + high + 1) / 2
        if (findPlacement(shape.copy(taskCount = middle)) == null) high = middle - 1 else low = middle
    }
    return low
}

/** Text form of the shape, for reasons and messages. */
internal fun Shape.describe(): String {
    val scope = when (spread) {
        Spread.WORKER -> "on one worker"
        Spread.RACK -> "in one rack"
        Spread.DOMAIN -> "in the failure domain"
    }
    return "$taskCount x ($acceleratorsPerTask accelerators, $coresPerTask cores, $memoryMiBPerTask MiB) $scope"
}
