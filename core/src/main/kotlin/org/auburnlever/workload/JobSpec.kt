package org.auburnlever.workload

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * What a client hands in.
 *
 * @property payload text that each task is started with
 * @property repetitions how often the steps run by time; 0 for a job that runs once, at once
 * @property firstRunMillis Unix time at which occurrence 0 is due
 * @property intervalMillis time between the due times of two occurrences
 */
@Serializable
data class JobSpec(
    val payload: String,
    val steps: List<StepSpec>,
    val repetitions: Int = 0,
    val firstRunMillis: Long = 0,
    val intervalMillis: Long = 0,
) {
    /** Number of occurrences; a job without times has one. */
    val occurrenceCount: Int get() = maxOf(repetitions, 1)

    /** Unix time before which no task of [occurrence] may start. */
    fun dueMillis(occurrence: Int): Long = if (repetitions > 0) firstRunMillis + occurrence * intervalMillis else 0
}

/**
 * Tasks of one kind.
 *
 * @property taskCount number of tasks
 * @property need resources of one task; cores of a filling step are not reserved
 * @property estimatedMillis rough duration of a task
 * @property dependsOn numbers of earlier steps whose tasks must all be done first
 * @property gang the tasks work only while all of them are present, and end together
 * @property rackSensitive the tasks take several times as long when they are on more than one rack
 * @property constraint label that a worker must have
 * @property dataRack rack on which the tasks run at full speed
 * @property maxTasksPerWorker most tasks of one occurrence of the step on a worker; 0 for no limit
 * @property longRunning the tasks run until the job is canceled and are started again however they end
 * @property usesSpareCores the cores are left-over capacity and are not counted
 */
@Serializable
data class StepSpec(
    val taskCount: Int,
    val need: Resources,
    val estimatedMillis: Long = 0,
    val dependsOn: List<Int> = emptyList(),
    val checkpointing: Boolean = false,
    val gang: Boolean = false,
    val rackSensitive: Boolean = false,
    val constraint: String? = null,
    val dataRack: String? = null,
    val maxTasksPerWorker: Int = 0,
    val speculative: Boolean = false,
    val longRunning: Boolean = false,
    @SerialName("fills") val usesSpareCores: Boolean = false,
) {
    /** What one task takes from its worker's capacity. */
    val reserved: Resources get() = if (usesSpareCores) need.copy(milliCores = 0) else need
}
