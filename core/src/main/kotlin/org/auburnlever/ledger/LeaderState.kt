package org.auburnlever.ledger

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.auburnlever.wire.TaskReport
import org.auburnlever.world.WorkerName

/**
 * What only the leader of a ledger knows: when it heard from each worker, and the lagging usage of tasks.
 *
 * It is lost with the leadership. A worker that was not heard from since [electedMillis] counts as heard from then.
 * [plannedIndex] and [plannedMillis] tell for which state the scheduler ran last.
 */
data class LeaderState(
    val electedMillis: Long,
    val workers: PersistentMap<WorkerName, LastHeartbeat> = persistentMapOf(),
    val plannedIndex: Long = -1,
    val plannedMillis: Long = 0,
) {
    /** Time of the last heartbeat of [worker] that counts. */
    fun lastSeenMillis(worker: WorkerName): Long = workers[worker]?.atMillis ?: electedMillis
}

/** The newest heartbeat of a worker; [missing] holds since when a task that it should hold has not been reported. */
data class LastHeartbeat(
    val atMillis: Long,
    val epochMillis: Long,
    val sequence: Long,
    val reports: List<TaskReport>,
    val missing: Map<TaskRef, MissingTask> = emptyMap(),
)

/** A task of placement [token] has not been reported since [sinceMillis]. */
data class MissingTask(val token: Long, val sinceMillis: Long)

/** New soft state and the commands to propose. */
data class LeaderStep(val leader: LeaderState, val commands: List<LedgerCommand>)
