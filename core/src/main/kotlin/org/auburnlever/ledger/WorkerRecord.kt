@file:UseSerializers(PersistentSetSerializer::class)

package org.auburnlever.ledger

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.serialization.Serializable
import kotlinx.serialization.UseSerializers
import org.auburnlever.codec.PersistentSetSerializer
import org.auburnlever.model.RackName
import org.auburnlever.model.Shape
import org.auburnlever.model.WorkerName

/** A task of a job, held by a worker. */
@Serializable
data class TaskRef(val jobId: String, val taskIndex: Int)

/**
 * A worker and what the ledger has allocated on it.
 *
 * Bit i of [busyMask] is set while accelerator i is held. [failedStarts] are the jobs whose start failed here since
 * the last success.
 */
@Serializable
data class WorkerRecord(
    val name: WorkerName,
    val rack: RackName,
    val positionInRack: Int,
    val epochMillis: Long,
    val acceleratorCount: Int,
    val cores: Int,
    val memoryMiB: Long,
    val draining: Boolean = false,
    val lost: Boolean = false,
    val lostMillis: Long = 0,
    val busyMask: Long = 0,
    val usedCores: Int = 0,
    val usedMemoryMiB: Long = 0,
    val held: PersistentSet<TaskRef> = persistentSetOf(),
    val failedStarts: PersistentSet<String> = persistentSetOf(),
    val suspension: Suspension? = null,
) {
    /** Mask of all accelerators of the worker. */
    val allMask: Long get() = if (acceleratorCount == Long.SIZE_BITS) -1L else (1L shl acceleratorCount) - 1

    /** Mask of the accelerators that no task holds. */
    val freeMask: Long get() = allMask and busyMask.inv()

    val freeCores: Int get() = cores - usedCores

    val freeMemoryMiB: Long get() = memoryMiB - usedMemoryMiB

    /** True when new tasks may be placed on the worker at [nowMillis], perhaps only under probation. */
    fun isUsable(nowMillis: Long): Boolean =
        !lost && !draining && (suspension == null || suspension.untilMillis <= nowMillis)

    /** True while the worker may run only one single-task job, which shows whether it still fails. */
    fun isOnProbation(nowMillis: Long): Boolean =
        suspension != null && nowMillis < suspension.untilMillis + PROBATION_MILLIS

    internal fun hold(ref: TaskRef, placement: TaskPlacement, shape: Shape): WorkerRecord = copy(
        busyMask = busyMask or placement.mask(),
        usedCores = usedCores + shape.coresPerTask,
        usedMemoryMiB = usedMemoryMiB + shape.memoryMiBPerTask,
        held = held.add(ref),
    )

    internal fun release(ref: TaskRef, placement: TaskPlacement, shape: Shape): WorkerRecord = copy(
        busyMask = busyMask and placement.mask().inv(),
        usedCores = usedCores - shape.coresPerTask,
        usedMemoryMiB = usedMemoryMiB - shape.memoryMiBPerTask,
        held = held.remove(ref),
    )

    internal companion object {
        /** After this time without a single-task job to test it, a worker that was suspended gets any work again. */
        const val PROBATION_MILLIS = 600_000L
    }
}

/** Excludes a worker from scheduling until [untilMillis]; [level] counts suspensions without a success in between. */
@Serializable
data class Suspension(val untilMillis: Long, val level: Int, val reason: String)

/** Bit mask of the accelerators of this placement. */
internal fun TaskPlacement.mask(): Long =
    if (accelerators.isEmpty()) 0L else accelerators.fold(0L) { mask, index -> mask or (1L shl index) }
