package org.auburnlever.workload.state

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnlever.codec.PersistentListSerializer
import org.auburnlever.codec.PersistentMapSerializer
import org.auburnlever.model.AccountName
import org.auburnlever.model.ServiceName
import org.auburnlever.workload.learning.MeasuredRun
import org.auburnlever.workload.learning.longestChainMillis

/** Identifies a task by job, occurrence, step and index within the step. */
@Serializable
data class TaskId(val job: String, val occurrence: Int, val step: Int, val index: Int) {
    /** The occurrence of the step that the task belongs to. */
    val stepId: StepId get() = StepId(job, occurrence, step)

    override fun toString(): String = "$job.$occurrence.$step.$index"

    companion object {
        private const val PARTS = 4

        /** Parses the form that [toString] writes; returns null for any other text. */
        fun parse(text: String): TaskId? {
            val parts = text.split('.')
            val numbers = parts.drop(1).mapNotNull { it.toIntOrNull() }
            if (parts.size != PARTS || numbers.size != PARTS - 1) return null
            val (occurrence, step, index) = numbers
            return TaskId(parts[0], occurrence, step, index)
        }
    }
}

/** Identifies one occurrence of a step. */
@Serializable
data class StepId(val job: String, val occurrence: Int, val step: Int) {
    /** Returns the id of the task at [index]. */
    fun task(index: Int) = TaskId(job, occurrence, step, index)

    override fun toString(): String = "$job.$occurrence.$step"
}

/** One start of a task; [run] increases with each start. */
@Serializable
data class TaskRun(val task: TaskId, val run: Int) {
    override fun toString(): String = "$task#$run"
}

/**
 * One incarnation of a worker.
 *
 * @property id the id that the worker reports; kept across restarts
 * @property startMillis start of the worker in Unix time; tells its incarnations apart
 */
@Serializable
data class WorkerRef(val id: String, @SerialName("bornMillis") val startMillis: Long, val address: String)

/** Whether a task is waiting, assigned to a worker, or done. */
@Serializable
enum class TaskPhase { WAITING, ASSIGNED, DONE }

/**
 * The replicated state of a task.
 *
 * @property run number of the newest run; 0 before the first
 * @property worker the worker of the newest run while the task is assigned
 * @property failures number of runs that ended as failed
 * @property checkpoint newest saved progress; empty without one
 * @property assignedMillis when the newest run was recorded
 * @property crashSuspicion grows with runs whose worker crashed
 * @property releasedMillis when the end of the newest run was recorded
 */
@Serializable
data class TaskRecord(
    val phase: TaskPhase = TaskPhase.WAITING,
    val run: Int = 0,
    val worker: WorkerRef? = null,
    val failures: Int = 0,
    val checkpoint: String = "",
    val assignedMillis: Long = 0,
    val crashSuspicion: Int = 0,
    val releasedMillis: Long = 0,
)

/**
 * The tasks of one occurrence of a step.
 *
 * @property failedRuns number of failed runs; a run of a gang counts once, however many members failed
 * @property newestFailedRun the highest run that was counted
 * @property slowed whether tasks run slowly because of their racks, as marked by the leader that assigned them
 * @property measured the complete runs of the step so far; emptied when the step is done
 */
@Serializable
data class StepRecord(
    @Serializable(PersistentListSerializer::class) val tasks: PersistentList<TaskRecord>,
    val failedRuns: Int = 0,
    val newestFailedRun: Int = 0,
    val slowed: Boolean = false,
    val measured: List<MeasuredRun> = emptyList(),
) {
    /** Whether all tasks are done. */
    val done: Boolean get() = tasks.all { it.phase == TaskPhase.DONE }

    companion object {
        /** Creates the state of a step of which no task has been started. */
        fun of(spec: StepSpec) = StepRecord(List(spec.taskCount) { TaskRecord() }.toPersistentList())
    }
}

/** Whether a job is active or how it ended. */
@Serializable
enum class JobPhase { ACTIVE, SUCCEEDED, FAILED, CANCELED }

/**
 * The replicated state of a job.
 *
 * @property queue name of the queue at the time of acceptance
 * @property queueAddress its address; null for jobs that earlier versions accepted
 * @property policy the queue's policy at the time of acceptance
 * @property started whether a task has been seen to begin, or is assigned and may begin
 * @property begun whether a run has ended that had been seen to begin
 */
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
    val begun: Boolean = false,
    val queueAddress: QueueAddress? = null,
) {
    /** Returns the steps of [occurrence], in their initial state if none of its tasks has been started. */
    fun steps(occurrence: Int): List<StepRecord> = occurrences[occurrence] ?: spec.steps.map { StepRecord.of(it) }

    /** Returns the step [id], or null if the job has no such step. */
    fun step(id: StepId): StepRecord? =
        if (id.occurrence in 0 until spec.occurrenceCount) steps(id.occurrence).getOrNull(id.step) else null

    /** Returns the task [id], or null if the job has no such task. */
    fun task(id: TaskId): TaskRecord? = step(id.stepId)?.tasks?.getOrNull(id.index)

    // Both are computed once for each version of the job: plans and ticks read them far more often than jobs change.
    private val assignedTasks by lazy(LazyThreadSafetyMode.PUBLICATION) {
        occurrences.flatMap { (occurrence, steps) ->
            steps.flatMapIndexed { step, record ->
                record.tasks.mapIndexedNotNull { index, task ->
                    if (task.phase == TaskPhase.ASSIGNED) TaskId(id, occurrence, step, index) to task else null
                }
            }
        }
    }
    private val criticalPath by lazy(LazyThreadSafetyMode.PUBLICATION) {
        spec.longestChainMillis { spec.steps[it].estimatedMillis }
    }

    /** Returns the tasks that are assigned to a worker. */
    fun assigned(): List<Pair<TaskId, TaskRecord>> = assignedTasks

    /** Returns the Unix time from which the completion of [occurrence] is measured. */
    fun beginMillis(occurrence: Int = 0): Long = maxOf(acceptedMillis, spec.dueMillis(occurrence))

    /** Returns the completion objective: the Unix time by which [occurrence] should be done, from its estimates. */
    fun objectiveMillis(occurrence: Int = 0): Long =
        beginMillis(occurrence) + policy.objectiveAfterMillis(criticalPathMillis())

    /** Returns the estimated duration of the longest chain of dependent steps. */
    fun criticalPathMillis(): Long = criticalPath
}

/** Returns the estimated duration of the longest chain of dependent steps. */
internal fun JobSpec.criticalPathMillis(): Long = longestChainMillis { steps[it].estimatedMillis }
