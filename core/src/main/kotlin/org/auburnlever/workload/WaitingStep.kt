package org.auburnlever.workload

/** Tasks of one step that wait for workers. */
internal class WaitingStep(val job: JobRecord, val id: StepId, val spec: StepSpec, val tasks: List<Int>) {
    val priority: Int get() = job.policy.priority

    /** Number of the next start; larger than all earlier ones of the step. */
    val nextRun: Int
        get() = (job.step(id)?.tasks?.maxOf { it.run } ?: 0) + 1

    /** Tasks of the step by the worker that they are assigned to; empty if their number there has no bound. */
    val countsOnWorkers: Map<String, Int> by lazy(LazyThreadSafetyMode.NONE) {
        if (spec.maxTasksPerWorker <= 0) {
            emptyMap()
        } else {
            job.step(id)?.tasks.orEmpty().mapNotNull { it.worker?.id }.groupingBy { it }.eachCount()
        }
    }

    /** How many more tasks of the step may run on [worker] for the sake of their number alone. */
    fun allowedOn(worker: WorkerCapacity): Int =
        if (spec.maxTasksPerWorker <= 0) {
            Int.MAX_VALUE
        } else {
            maxOf(0, spec.maxTasksPerWorker - (countsOnWorkers[worker.ref.id] ?: 0))
        }
}
