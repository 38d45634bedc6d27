package org.auburnlever.workload.state

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A job as a client submits it.
 *
 * @property payload text that is passed to each task
 * @property repetitions number of scheduled occurrences; 0 for a job that runs once, without delay
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
    /** Number of occurrences; a job without a schedule has one. */
    val occurrenceCount: Int get() = maxOf(repetitions, 1)

    /** Returns the Unix time before which no task of [occurrence] may start. */
    fun dueMillis(occurrence: Int): Long = if (repetitions > 0) firstRunMillis + occurrence * intervalMillis else 0
}

/**
 * A step of a job: a number of tasks with the same requirements.
 *
 * @property need resources of one task
 * @property estimatedMillis rough duration of a task
 * @property dependsOn indices of earlier steps whose tasks must all be done first
 * @property gang whether the tasks make progress only while all of them run, and end together
 * @property rackSensitive whether the tasks take several times as long when they are spread over more than one rack
 * @property constraint label that a worker must have
 * @property dataRack rack on which the tasks run at full speed
 * @property maxTasksPerWorker maximum number of tasks of one occurrence of the step on a worker; 0 for no limit
 * @property longRunning whether the tasks run until the job is canceled and are restarted however they end
 * @property usesSpareCores whether the tasks run on left-over processor time, so that their cores are not reserved
 * @property image what the tasks run, so that tasks of the same image behave alike; empty if it is not given
 * @property targetMillis limit on the tail of the response times of tasks that serve users; 0 for other tasks
 * @property missAllowed number of tasks that may be unavailable at the same time as a result of the scheduler's
 *   actions; 0 if it is not given
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
    val image: String = "",
    val targetMillis: Long = 0,
    val missAllowed: Int = 0,
) {
    /** Resources that one task reserves on its worker. */
    val reserved: Resources get() = if (usesSpareCores) need.copy(milliCores = 0) else need
}
