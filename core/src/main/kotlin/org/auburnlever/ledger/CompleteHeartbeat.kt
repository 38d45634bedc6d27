package org.auburnlever.ledger

import org.auburnlever.wire.DroppedTask
import org.auburnlever.wire.TaskReport
import org.auburnlever.wire.WorkerHeartbeat

/**
 * Returns [heartbeat] with the reports of all tasks of the worker: those that it lists, and those that are unchanged
 * since the earlier heartbeat that it is based on. Null if this leader does not have that base, as after an election.
 *
 * The leader may have received newer heartbeats than the base. Every change since the base is listed again, so a listed
 * report is always the newest one.
 */
fun LeaderState.complete(heartbeat: WorkerHeartbeat, nowMillis: Long): WorkerHeartbeat? {
    val base = heartbeat.basedOn ?: return heartbeat
    val last = workers[heartbeat.worker]?.takeIf { it.epochMillis == heartbeat.epochMillis && it.sequence >= base }
    return last?.let { known ->
        val replaced = heartbeat.tasks.map { it.placement() }.toSet() + heartbeat.dropped
        val kept = known.reports.filter { it.placement() !in replaced }.map { it.after(nowMillis - known.atMillis) }
        heartbeat.copy(tasks = kept + heartbeat.tasks, basedOn = null, dropped = emptyList())
    }
}

private fun TaskReport.placement() = DroppedTask(jobId, taskIndex, token)

/** Returns the report as of [elapsedMillis] later, when nothing but the age of its checkpoint has changed. */
private fun TaskReport.after(elapsedMillis: Long): TaskReport =
    copy(checkpointAgeMillis = checkpointAgeMillis?.let { it + elapsedMillis })
