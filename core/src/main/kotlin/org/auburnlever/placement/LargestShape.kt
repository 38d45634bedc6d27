package org.auburnlever.placement

import org.auburnlever.ledger.LedgerState
import org.auburnlever.ledger.isRetentionExpired
import org.auburnlever.world.Shape
import org.auburnlever.world.Spread

private val NEUTRAL = Weights(completionTime = 1.0, fragmentation = 1.0)

/**
 * The largest shape of the kind of [shape] that the known workers could run if they were empty; [shape] itself if it
 * fits. Workers that were lost, suspended or are draining count, since they usually return.
 */
internal fun LedgerState.largestPossible(shape: Shape): Shape {
    val room = Room.whole(workers.values.filter { !it.isRetentionExpired(timeMillis) }, NEUTRAL)
    return if (room.find(shape) != null) shape else room.largest(shape)
}

private fun Room.largest(shape: Shape): Shape {
    val perTask = minOf(shape.acceleratorsPerTask, slots.maxOfOrNull { it.allMask.countOneBits() } ?: 0)
    val cores = minOf(shape.coresPerTask.toLong(), slots.maxOfOrNull { it.freeCores } ?: 0)
    val memoryMiB = minOf(shape.memoryMiBPerTask, slots.maxOfOrNull { it.freeMemoryMiB } ?: 0)
    val bounded = shape.copy(
        acceleratorsPerTask = perTask,
        coresPerTask = cores.toInt(),
        memoryMiBPerTask = memoryMiB,
    )
    return bounded.copy(taskCount = largestCount(bounded))
}

/** Fitting is monotone in the number of tasks, so the largest number is found by bisection. */
private fun Room.largestCount(shape: Shape): Int {
    var low = 0
    var high = shape.taskCount
    while (low < high) {
        val middle = (low + high + 1) / 2
        if (find(shape.copy(taskCount = middle)) == null) high = middle - 1 else low = middle
    }
    return low
}

/** The shape in words, for reasons and messages. */
internal fun Shape.describe(): String {
    val scope = when (spread) {
        Spread.WORKER -> "on one worker"
        Spread.RACK -> "in one rack"
        Spread.DOMAIN -> "in the failure domain"
    }
    return "$taskCount x ($acceleratorsPerTask accelerators, $coresPerTask cores, $memoryMiBPerTask MiB) $scope"
}
