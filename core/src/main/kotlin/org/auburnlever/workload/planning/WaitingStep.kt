package org.auburnlever.workload.planning

import org.auburnlever.workload.learning.DurationForecast
import org.auburnlever.workload.state.JobRecord
import org.auburnlever.workload.state.StepId
import org.auburnlever.workload.state.StepSpec
import org.auburnlever.workload.state.idleWorkerWaitEndMillis

/**
 * The [tasks] of one step, by index, that wait for workers.
 *
 * @property guaranteed whether the job is within the guarantee of its account
 * @property alone those of the tasks that wait for a worker without runs of other jobs
 */
internal class WaitingStep(
    val job: JobRecord,
    val id: StepId,
    val spec: StepSpec,
    val tasks: List<Int>,
    val guaranteed: Boolean = false,
    val alone: Set<Int> = emptySet(),
) {
    val priority: Int get() = job.policy.priority

    // A job without a started task builds the records of all its tasks at each call.
    private val record by lazy(LazyThreadSafetyMode.NONE) { job.step(id) }

    /** Unix time until which a task of [alone] waits for an idle worker; null without such a task. */
    val idleWorkerWaitEndMillis: Long?
        get() = alone.mapNotNull { job.step(id)?.tasks?.get(it) }.maxOfOrNull(spec::idleWorkerWaitEndMillis)

    /** Unix time since which the newest of the waiting tasks could run, from replicated times. */
    val waitingSinceMillis: Long get() = tasks.maxOf { waitingSinceMillis(it) }

    /**
     * Returns the Unix time since which the task [index] could run, from replicated times.
     *
     * The end of earlier steps is not recorded, so the time of a later step is that of its job.
     */
    fun waitingSinceMillis(index: Int): Long =
        maxOf(job.beginMillis(id.occurrence), record?.tasks?.get(index)?.releasedMillis ?: 0)

    /** Number of the next run; higher than all earlier ones of the step. */
    val nextRun: Int
        get() = (job.step(id)?.tasks?.maxOf { it.run } ?: 0) + 1

    /** Returns the expected work of the waiting tasks in milli-core-milliseconds. */
    fun workMilliCoreMillis(durations: DurationForecast): Long =
        tasks.size * spec.reserved.weightMilliCores * durations.taskMillis(job, id.step)

    /** Number of assigned tasks of the step by worker id; empty if the number on a worker is not limited. */
    val countsOnWorkers: Map<String, Int> by lazy(LazyThreadSafetyMode.NONE) {
        if (spec.maxTasksPerWorker <= 0) {
            emptyMap()
        } else {
            job.step(id)?.tasks.orEmpty().mapNotNull { it.worker?.id }.groupingBy { it }.eachCount()
        }
    }

    /** Returns the same step with other [tasks], treated as another [spec], or with other tasks [alone]. */
    fun with(tasks: List<Int> = this.tasks, spec: StepSpec = this.spec, alone: Set<Int> = this.alone) =
        WaitingStep(job, id, spec, tasks, guaranteed, alone)

    /** Returns how many more tasks of the step [worker] may run by the step's limit; its free resources don't count. */
    fun allowedOn(worker: WorkerCapacity): Int =
        if (spec.maxTasksPerWorker <= 0) {
            Int.MAX_VALUE
        } else {
            maxOf(0, spec.maxTasksPerWorker - (countsOnWorkers[worker.ref.id] ?: 0))
        }
}
