package org.auburnlever.ledger

import org.auburnlever.wire.DroppedTask
import org.auburnlever.wire.TaskReport
import org.auburnlever.wire.WorkerHeartbeat

/**
 * Returns the heartbeat with all tasks that [heartbeat] stands for; null if this leader does not know the one that it
 * is based on, as after an election.
 *
 * Reports that are newer than the base may be known already. A change after the base is listed again, so the listed
 * reports are the newest in any case.
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

/** The report [elapsedMillis] later, if nothing but the age of its checkpoint has changed. */
private fun TaskReport.after(elapsedMillis: Long): TaskReport =
    copy(checkpointAgeMillis = checkpointAgeMillis?.let { it + elapsedMillis })
