package org.auburnlever.configuration

import org.auburnlever.model.Shape

/** Permitted ranges of a [Shape], in bundles and in jobs. */
object ShapeRanges {
    /** Number of tasks in a gang. */
    const val MAX_TASKS: Int = 64

    /** Accelerators of one task; all of them are on one worker. */
    const val MAX_ACCELERATORS_PER_TASK: Int = 64

    /** Cores of one task. */
    const val MAX_CORES_PER_TASK: Int = 1_024

    /** Memory of one task: 16 TiB. */
    const val MAX_MEMORY_MIB_PER_TASK: Long = 16L * 1_024 * 1_024

    /**
     * Returns a problem for each field of [shape] that is out of range; [path] is the path of the shape.
     *
     * Tasks without accelerators are permitted; they use cores only.
     */
    fun check(path: String, shape: Shape): List<FieldProblem> {
        val collector = ProblemCollector()
        collector.requireRange("$path.taskCount", shape.taskCount, 1..MAX_TASKS)
        collector.requireRange("$path.acceleratorsPerTask", shape.acceleratorsPerTask, 0..MAX_ACCELERATORS_PER_TASK)
        collector.requireRange("$path.coresPerTask", shape.coresPerTask, 1..MAX_CORES_PER_TASK)
        collector.requireRange("$path.memoryMiBPerTask", shape.memoryMiBPerTask, 1L..MAX_MEMORY_MIB_PER_TASK)
        return collector.problems
    }
}
