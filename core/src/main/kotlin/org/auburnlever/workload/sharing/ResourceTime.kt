package org.auburnlever.workload.sharing

import org.auburnlever.workload.state.Resources

/** Use of resources over time: each amount multiplied by the milliseconds for which it was in use. */
data class ResourceTime(val milliCoreMillis: Double, val memoryMiBMillis: Double, val acceleratorMillis: Double) {
    operator fun plus(other: ResourceTime) = ResourceTime(
        milliCoreMillis + other.milliCoreMillis,
        memoryMiBMillis + other.memoryMiBMillis,
        acceleratorMillis + other.acceleratorMillis,
    )

    /** Returns for how many milliseconds this use would occupy the whole [capacity], by the resource used most. */
    fun dominantMillis(capacity: Resources): Double = maxOf(
        milliCoreMillis / maxOf(capacity.milliCores, 1),
        memoryMiBMillis / maxOf(capacity.memoryMiB, 1),
        acceleratorMillis / maxOf(capacity.accelerators, 1),
    )

    companion object {
        /** No use. */
        val NONE = ResourceTime(0.0, 0.0, 0.0)

        /** Returns the use of [amount] for [millis]. */
        fun of(amount: Resources, millis: Double) =
            ResourceTime(amount.milliCores * millis, amount.memoryMiB * millis, amount.accelerators * millis)
    }
}
