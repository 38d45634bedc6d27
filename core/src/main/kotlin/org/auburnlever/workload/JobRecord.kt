package org.auburnlever.workload

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnlever.codec.PersistentListSerializer
import org.auburnlever.codec.PersistentMapSerializer
import org.auburnlever.world.AccountName
import org.auburnlever.world.ServiceName

/** A task by job, occurrence, step and index within the step. */
@Serializable
data class TaskId(val job: String, val occurrence: Int, val step: Int, val index: Int) {
    /** The occurrence of the step that the task belongs to. */
    val stepId: StepId get() = StepId(job, occurrence, step)

    override fun toString(): String = "$job.$occurrence.$step.$index"

    companion object {
        private const val PARTS = 4

        /** Reads the form that [toString] writes; null for any other text. */
        fun parse(text: String): TaskId? {
            val parts = text.split('.')
            val numbers = parts.drop(1).mapNotNull { it.toIntOrNull() }
            if (parts.size != PARTS || numbers.size != PARTS - 1) return null
            val (occurrence, step, index) = numbers
            return TaskId(parts[0], occurrence, step, index)
        }
    }
}

/** One occurrence of a step. */
@Serializable
data class StepId(val job: String, val occurrence: Int, val step: Int) {
    /** The task at [index]. */
    fun task(index: Int) = TaskId(job, occurrence, step, index)

    override fun toString(): String = "$job.$occurrence.$step"
}

/** One start of a task; [run] rises with each start. */
@Serializable
data class TaskRun(val task: TaskId, val run: Int) {
    override fun toString(): String = "$task#$run"
}

/** One life of a worker: [id] as it announced itself, [startMillis] its start in Unix time. */
@Serializable
data class WorkerRef(val id: String, @SerialName("bornMillis") val startMillis: Long, val address: String)

/** Whether a task waits, is assigned to a worker, or is done. */
@Serializable
enum class TaskPhase { WAITING, ASSIGNED, DONE }

/**
 * A task as the log knows it.
 *
 * @property run number of the newest start; 0 before the first
 * @property worker where the newest start was ordered, while the task is assigned
 * @property failures runs that ended as failed
 * @property checkpoint newest saved progress; empty without one
 * @property assignedMillis when the newest start was recorded
 */
@Serializable
data class TaskRecord(
    val phase: TaskPhase = TaskPhase.WAITING,
    val run: Int = 0,
    val worker: WorkerRef? = null,
    val failures: Int = 0,
    val checkpoint: String = "",
    val assignedMillis: Long = 0,
)

/** The tasks of one occurrence of a step; [failedRuns] counts the failed runs of a gang as a whole. */
@Serializable
data class StepRecord(
    @Serializable(PersistentListSerializer::class) val tasks: PersistentList<TaskRecord>,
    val failedRuns: Int = 0,
    val newestFailedRun: Int = 0,
) {
    /** Whether all tasks are done. */
    val done: Boolean get() = tasks.all { it.phase == TaskPhase.DONE }

    companion object {
        /** The step before its first start. */
        fun of(spec: StepSpec) = StepRecord(List(spec.taskCount) { TaskRecord() }.toPersistentList())
    }
}

/** Whether a job is open or how it ended. */
@Serializable
enum class JobPhase { ACTIVE, SUCCEEDED, FAILED, CANCELED }

/** A stored job with the policy that its queue had at acceptance. */
@Serializable
data class JobRecord(
    val id: String,
    val queue: String,
    val service: ServiceName,
    val account: AccountName?,
    val policy: QueuePolicy,
    val spec: JobSpec,
    val acceptedMillis: Long,
    val phase: JobPhase = JobPhase.ACTIVE,
    val endedMillis: Long = 0,
    val started: Boolean = false,
    @Serializable(PersistentMapSerializer::class)
    val occurrences: PersistentMap<Int, List<StepRecord>> = persistentMapOf(),
) {
    /** The steps of [occurrence]; fresh ones before its first start. */
    fun steps(occurrence: Int): List<StepRecord> = occurrences[occurrence] ?: spec.steps.map { StepRecord.of(it) }

    /** The step [id], or null if the job has none. */
    fun step(id: StepId): StepRecord? =
        if (id.occurrence in 0 until spec.occurrenceCount) steps(id.occurrence).getOrNull(id.step) else null

    /** The task [id], or null if the job has none. */
    fun task(id: TaskId): TaskRecord? = step(id.stepId)?.tasks?.getOrNull(id.index)

    // Computed once for each version of the job: plans and ticks read them far more often than a job changes.
    private val assignedTasks by lazy(LazyThreadSafetyMode.PUBLICATION) {
        occurrences.flatMap { (occurrence, steps) ->
            steps.flatMapIndexed { step, record ->
                record.tasks.mapIndexedNotNull { index, task ->
                    if (task.phase == TaskPhase.ASSIGNED) TaskId(id, occurrence, step, index) to task else null
                }
            }
        }
    }
    private val criticalPath by lazy(LazyThreadSafetyMode.PUBLICATION) { spec.criticalPathMillis() }

    /** Tasks that are assigned to a worker. */
    fun assigned(): List<Pair<TaskId, TaskRecord>> = assignedTasks

    /** Unix time by which the job should be done, from its estimates. */
    fun objectiveMillis(): Long =
        acceptedMillis + policy.targetLatencyMillis + (policy.stretch * criticalPathMillis()).toLong()

    /** Estimated duration of the longest chain of steps. */
    fun criticalPathMillis(): Long = criticalPath
}

private fun JobSpec.criticalPathMillis(): Long {
    val ends = ArrayList<Long>()
    for (step in steps) {
        ends += step.estimatedMillis + (step.dependsOn.maxOfOrNull { ends.getOrElse(it) { 0L } } ?: 0L)
    }
    return ends.maxOrNull() ?: 0L
}
