package org.auburnlever.ledger

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.auburnlever.model.WorkerName
import org.auburnlever.wire.TaskReport

/**
 * Soft state of a ledger's leader: the last heartbeat of each worker, whose figures of task usage lag behind.
 *
 * It is not replicated and is lost when the leader changes. A worker without a heartbeat since [electedMillis] counts
 * as seen at that time. [plannedIndex] and [plannedMillis] are the log index and the time of the scheduler's last run.
 */
data class LeaderState(
    val electedMillis: Long,
    val workers: PersistentMap<WorkerName, LastHeartbeat> = persistentMapOf(),
    val plannedIndex: Long = -1,
    val plannedMillis: Long = 0,
) {
    /** Returns the time of the last accepted heartbeat of [worker], or [electedMillis] if there is none. */
    fun lastSeenMillis(worker: WorkerName): Long = workers[worker]?.atMillis ?: electedMillis
}

/** The last heartbeat of a worker; [missing] are the tasks that it should hold but does not report. */
data class LastHeartbeat(
    val atMillis: Long,
    val epochMillis: Long,
    val sequence: Long,
    val reports: List<TaskReport>,
    val missing: Map<TaskRef, MissingTask> = emptyMap(),
)

/** A task of the placement with [token] that has not been reported since [sinceMillis]. */
data class MissingTask(val token: Long, val sinceMillis: Long)

/** The leader's new soft state and the commands to propose. */
data class LeaderStep(val leader: LeaderState, val commands: List<LedgerCommand>)
