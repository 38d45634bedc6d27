@file:UseSerializers(PersistentListSerializer::class, PersistentSetSerializer::class)

package org.auburnlever.ledger

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.serialization.Serializable
import kotlinx.serialization.UseSerializers
import org.auburnlever.codec.PersistentListSerializer
import org.auburnlever.codec.PersistentSetSerializer
import org.auburnlever.model.AccountName
import org.auburnlever.model.WorkerName
import org.auburnlever.wire.JobPhase
import org.auburnlever.wire.JobSpec
import org.auburnlever.wire.Outcome

/**
 * A job and, while it is placed, its gang.
 *
 * [token] is the log index of the current placement. [started] is true once a start order may have been sent; a
 * non-repeatable job that is [started] is never queued again.
 */
@Serializable
data class JobRecord(
    val jobId: String,
    val key: RequestKey,
    val spec: JobSpec,
    val submittedIndex: Long,
    val submittedMillis: Long,
    val phase: JobPhase = JobPhase.QUEUED,
    val attempt: Int = 0,
    val token: Long = 0,
    val guarantee: GuaranteeId? = null,
    val tasks: PersistentList<TaskRecord> = persistentListOf(),
    val stop: StopDecision? = null,
    val started: Boolean = false,
    val lostRequeues: Int = 0,
    val startFailures: Int = 0,
    val failedOn: PersistentSet<WorkerName> = persistentSetOf(),
    val reason: String? = null,
    val placedMillis: Long? = null,
    val runningMillis: Long? = null,
    val confirmed: Boolean = false,
    val ranMillis: Long = 0,
    val waitedMillis: Long = 0,
    val queuedMillis: Long = submittedMillis,
    val outcome: Outcome? = null,
) {
    val account: AccountName get() = key.account

    /** True while the job has tasks on workers. */
    val isActive: Boolean get() = phase != JobPhase.QUEUED && phase != JobPhase.DONE

    /** True when the job may be placed again after an interruption. */
    val mayRunAgain: Boolean get() = spec.repeatable || !started
}

/** One task of a gang. */
@Serializable
data class TaskRecord(
    val placement: TaskPlacement,
    val state: TaskState = TaskState.PENDING,
    val result: String? = null,
    val error: String? = null,
)

/** The recorded state of a task. A task only moves on to later values; comparisons rely on the order. */
@Serializable
enum class TaskState {
    PENDING,
    RESERVED,
    RUNNING,
    COMPLETED,
    FAILED,
    STOPPED,
    LOST,
    ;

    /** True when the worker no longer holds the task. */
    val isFinal: Boolean get() = this >= COMPLETED
}

/** Why a gang is stopped, how long its tasks may take to checkpoint, and the job that preempts it, if any. */
@Serializable
data class StopDecision(
    val cause: StopCause,
    val graceMillis: Long,
    val reason: String,
    val forJobId: String? = null,
)

/** The causes for stopping a gang. */
@Serializable
enum class StopCause {
    CANCELLED,
    PREEMPTED,
    WORKER_LOST,
    TASK_FAILED,
    START_FAILED,
}
