package org.auburnlever.placement

import org.auburnlever.ledger.TaskPlacement
import org.auburnlever.ledger.WorkerRecord
import org.auburnlever.ledger.longestRun
import org.auburnlever.model.RackName
import org.auburnlever.model.Shape
import org.auburnlever.model.WorkerName

/**
 * Capacity of one worker that a plan may still use; mutable, and used only within one call of the planner.
 *
 * Each bit of a mask is an accelerator. Those of [avoidMask] are used last: they are planned for guarantees, so work
 * there is likely to be preempted.
 */
internal class WorkerCapacity(val name: WorkerName, val rack: RackName, val position: Int, val allMask: Long) {
    var freeMask: Long = 0
    var freeCores: Long = 0
    var freeMemoryMiB: Long = 0
    var avoidMask: Long = 0

    /** Limits of what may be used, whatever becomes free: the rest is kept for another job or a guarantee. */
    var limitMask: Long = -1L
    var limitCores: Long = Long.MAX_VALUE
    var limitMemoryMiB: Long = Long.MAX_VALUE

    val usableMask: Long get() = freeMask and limitMask

    /** Whether the worker may run only one single-task job, to find out whether starts still fail there. */
    var probation: Boolean = false

    /** Number of tasks of [shape] that fit now, [limit] at most. */
    fun tasksThatFit(shape: Shape, limit: Int): Int {
        var count = limit.toLong()
        if (shape.coresPerTask > 0) count = minOf(count, minOf(freeCores, limitCores) / shape.coresPerTask)
        if (shape.memoryMiBPerTask > 0) {
            count = minOf(count, minOf(freeMemoryMiB, limitMemoryMiB) / shape.memoryMiBPerTask)
        }
        if (count > 0 && shape.acceleratorsPerTask > 0) {
            count = minOf(count, countRuns(usableMask, shape.acceleratorsPerTask).toLong())
        }
        return maxOf(count, 0L).toInt()
    }

    /** Allocates one task of [shape], which must fit, and returns its placement. */
    fun allocateTask(shape: Shape): TaskPlacement {
        val length = shape.acceleratorsPerTask
        val start = if (length == 0) 0 else bestRun(usableMask, length, avoidMask)
        check(start >= 0) { "no $length contiguous accelerators are free on $name" }
        val placement = TaskPlacement(name, List(length) { start + it })
        remove(if (length == 0) 0L else runMask(start, length), shape.coresPerTask.toLong(), shape.memoryMiBPerTask)
        return placement
    }

    fun remove(mask: Long, cores: Long, memoryMiB: Long) {
        freeMask = freeMask and mask.inv()
        freeCores -= cores
        freeMemoryMiB -= memoryMiB
        limitMask = limitMask and mask.inv()
        if (limitCores != Long.MAX_VALUE) limitCores -= cores
        if (limitMemoryMiB != Long.MAX_VALUE) limitMemoryMiB -= memoryMiB
    }

    fun add(mask: Long, cores: Long, memoryMiB: Long) {
        freeMask = freeMask or (mask and allMask)
        freeCores += cores
        freeMemoryMiB += memoryMiB
    }

    fun limitTo(other: WorkerCapacity) {
        limitMask = limitMask and other.freeMask
        limitCores = other.freeCores
        limitMemoryMiB = other.freeMemoryMiB
        avoidMask = 0
    }

    fun copyOf(): WorkerCapacity {
        val copy = WorkerCapacity(name, rack, position, allMask)
        copy.freeMask = freeMask
        copy.freeCores = freeCores
        copy.freeMemoryMiB = freeMemoryMiB
        copy.avoidMask = avoidMask
        copy.limitMask = limitMask
        copy.limitCores = limitCores
        copy.limitMemoryMiB = limitMemoryMiB
        copy.probation = probation
        return copy
    }

    /**
     * Cost of placing [count] tasks of [shape] here.
     *
     * Using only a part of an entirely free worker, shortening the longest free run and leaving small remainders count
     * as fragmentation; overlap with planned guarantees counts as completion time.
     */
    fun cost(shape: Shape, count: Int, weights: Weights): Double {
        val taken = shape.acceleratorsPerTask * count
        val free = java.lang.Long.bitCount(usableMask)
        val splitsFreeWorker = free > taken && usableMask == allMask
        val fragments = (free - taken) + (if (splitsFreeWorker) SPLIT_WORKER_COST else 0) + longestRunLoss(shape, taken)
        val overlap = maxOf(0, taken - java.lang.Long.bitCount(usableMask and avoidMask.inv()))
        return weights.fragmentation * fragments + weights.completionTime * overlap * OVERLAP_COST
    }

    private fun longestRunLoss(shape: Shape, taken: Int): Int =
        if (shape.acceleratorsPerTask == 0) 0 else maxOf(0, longestRun(usableMask) - taken)

    companion object {
        /** Free capacity of [worker], or its total capacity if [whole]. */
        fun of(worker: WorkerRecord, whole: Boolean): WorkerCapacity {
            val capacity = WorkerCapacity(worker.name, worker.rack, worker.positionInRack, worker.allMask)
            capacity.freeMask = if (whole) worker.allMask else worker.freeMask
            capacity.freeCores = (if (whole) worker.cores else worker.freeCores).toLong()
            capacity.freeMemoryMiB = if (whole) worker.memoryMiB else worker.freeMemoryMiB
            return capacity
        }

        /** Using a part of a free worker costs as much as leaving one more worker of the usual size half used. */
        private const val SPLIT_WORKER_COST = 4

        /** A preempted task loses its work since its checkpoint, which outweighs a remainder of one accelerator. */
        private const val OVERLAP_COST = 2
    }
}

/** Weights of completion time and fragmentation in placement costs, from the bundle's policy. */
internal data class Weights(val completionTime: Double, val fragmentation: Double)
