package org.auburnlever.model

import kotlinx.serialization.Serializable

/** How far apart the tasks of a gang may be placed. */
@Serializable
enum class Spread {
    /** All tasks on one worker. */
    WORKER,

    /** All tasks on workers of one rack. */
    RACK,

    /** Anywhere in one failure domain. */
    DOMAIN,
}

/** Resources of a gang: [taskCount] equal tasks, each with a contiguous range of accelerators on one worker. */
@Serializable
data class Shape(
    val taskCount: Int,
    val acceleratorsPerTask: Int,
    val coresPerTask: Int = 1,
    val memoryMiBPerTask: Long = 1024,
    val spread: Spread = Spread.RACK,
) {
    /** Accelerators of all tasks together. */
    val acceleratorCount: Int get() = taskCount * acceleratorsPerTask
}
