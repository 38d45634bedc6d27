package org.auburnlever.workload

/** The [tasks] of one step, by index, that wait for workers. */
internal class WaitingStep(val job: JobRecord, val id: StepId, val spec: StepSpec, val tasks: List<Int>) {
    val priority: Int get() = job.policy.priority

    /** Number of the next run; higher than all earlier ones of the step. */
    val nextRun: Int
        get() = (job.step(id)?.tasks?.maxOf { it.run } ?: 0) + 1

    /** Number of assigned tasks of the step by worker id; empty if the number on a worker is not limited. */
    val countsOnWorkers: Map<String, Int> by lazy(LazyThreadSafetyMode.NONE) {
        if (spec.maxTasksPerWorker <= 0) {
            emptyMap()
        } else {
            job.step(id)?.tasks.orEmpty().mapNotNull { it.worker?.id }.groupingBy { it }.eachCount()
        }
    }

    /** Returns how many more tasks of the step [worker] may run by the step's limit; its free resources don't count. */
    fun allowedOn(worker: WorkerCapacity): Int =
        if (spec.maxTasksPerWorker <= 0) {
            Int.MAX_VALUE
        } else {
            maxOf(0, spec.maxTasksPerWorker - (countsOnWorkers[worker.ref.id] ?: 0))
        }
}
