package org.auburnlever.workload.state

import kotlinx.serialization.Serializable

/** An amount of processor time, memory and accelerators. */
@Serializable
data class Resources(val milliCores: Long, val memoryMiB: Long, val accelerators: Int) {
    /** Cores and accelerators as one number, for weighing lost work. */
    val weightMilliCores: Long get() = milliCores + accelerators * MILLI_CORES_PER_ACCELERATOR

    operator fun plus(other: Resources) =
        Resources(milliCores + other.milliCores, memoryMiB + other.memoryMiB, accelerators + other.accelerators)

    operator fun minus(other: Resources) =
        Resources(milliCores - other.milliCores, memoryMiB - other.memoryMiB, accelerators - other.accelerators)

    operator fun times(factor: Int) = Resources(milliCores * factor, memoryMiB * factor, accelerators * factor)

    /** Returns whether [other] fits into this amount. */
    fun holds(other: Resources): Boolean =
        other.milliCores <= milliCores && other.memoryMiB <= memoryMiB && other.accelerators <= accelerators

    /** Returns how many times [unit] fits into this amount; an empty unit fits without limit. */
    fun count(unit: Resources): Int {
        val byCores = times(milliCores, unit.milliCores)
        val byMemory = times(memoryMiB, unit.memoryMiB)
        val byAccelerators = times(accelerators.toLong(), unit.accelerators.toLong())
        return minOf(byCores, byMemory, byAccelerators).coerceIn(0, Int.MAX_VALUE.toLong()).toInt()
    }

    private fun times(have: Long, need: Long): Long = if (need <= 0) Int.MAX_VALUE.toLong() else have / need

    companion object {
        /** The operators weigh an accelerator like 8 cores. */
        private const val MILLI_CORES_PER_ACCELERATOR = 8_000L

        /** The empty amount. */
        val NONE = Resources(milliCores = 0, memoryMiB = 0, accelerators = 0)
    }
}
