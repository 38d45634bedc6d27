package org.auburnlever.workload

/** Tasks of one step that wait for workers. */
internal class WaitingStep(val job: JobRecord, val id: StepId, val spec: StepSpec, val tasks: List<Int>) {
    val priority: Int get() = job.policy.priority

    /** Number of the next start; larger than all earlier ones of the step. */
    val nextRun: Int
        get() = (job.step(id)?.tasks?.maxOf { it.run } ?: 0) + 1

    fun permits(worker: RoomOnWorker): Boolean =
        worker.report.service == job.service && (spec.constraint == null || spec.constraint in worker.report.labels)
}
