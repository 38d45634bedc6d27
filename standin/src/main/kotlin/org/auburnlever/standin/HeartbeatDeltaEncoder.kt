package org.auburnlever.standin

import org.auburnlever.wire.DroppedTask
import org.auburnlever.wire.HeartbeatReply
import org.auburnlever.wire.TaskReport
import org.auburnlever.wire.WorkerHeartbeat
import kotlin.math.abs

/**
 * Encodes a worker's heartbeats as deltas, which list only the tasks that changed since the base.
 *
 * The base is the newest answered heartbeat: [baseSequence], null before the first answer. [completeSequence] is the
 * newest heartbeat that listed all tasks. [dropped] holds, for each task that the worker no longer holds, the first
 * heartbeat without it. A report that changed and changed back since the base is listed too, since the leader may have
 * applied a heartbeat in between whose answer was lost.
 */
internal data class HeartbeatDeltaEncoder(
    private val baseSequence: Long? = null,
    private val completeSequence: Long = 0,
    private val reports: Map<DroppedTask, ReportVersion> = emptyMap(),
    private val dropped: Map<DroppedTask, Long> = emptyMap(),
) {
    /** Report that is unchanged since the heartbeat with [sequence], which was built at [atMillis]. */
    data class ReportVersion(val report: TaskReport, val sequence: Long, val atMillis: Long)

    /** Returns the form of [heartbeat] to send, and the next encoder. [heartbeat] lists all tasks at [nowMillis]. */
    fun encode(heartbeat: WorkerHeartbeat, nowMillis: Long): Pair<HeartbeatDeltaEncoder, WorkerHeartbeat> {
        val updated = withReports(heartbeat, nowMillis)
        val completeDue = heartbeat.sequence - completeSequence >= COMPLETE_HEARTBEAT_INTERVAL
        return if (baseSequence == null || completeDue) {
            updated.copy(completeSequence = heartbeat.sequence) to heartbeat
        } else {
            updated to updated.delta(heartbeat, baseSequence)
        }
    }

    /** Applies the [reply] to heartbeat [sequence]. If the leader lacks the base, the next one lists all tasks. */
    fun withReply(sequence: Long, reply: HeartbeatReply): HeartbeatDeltaEncoder = when {
        reply.completeWanted -> copy(baseSequence = null)
        sequence <= (baseSequence ?: 0) -> this
        else -> copy(baseSequence = sequence, dropped = dropped.filterValues { it > sequence })
    }

    private fun withReports(heartbeat: WorkerHeartbeat, nowMillis: Long): HeartbeatDeltaEncoder {
        val newReports = heartbeat.tasks.associate { report ->
            val unchanged = reports[report.placement()]
                ?.takeIf { report.isUnchangedSince(it.report, nowMillis - it.atMillis) }
            report.placement() to (unchanged ?: ReportVersion(report, heartbeat.sequence, nowMillis))
        }
        val newlyDropped = reports.keys.filter { it !in newReports }.associateWith { heartbeat.sequence }
        return copy(reports = newReports, dropped = (dropped - newReports.keys) + newlyDropped)
    }

    private fun delta(heartbeat: WorkerHeartbeat, base: Long) = heartbeat.copy(
        tasks = heartbeat.tasks.filter { reports.getValue(it.placement()).sequence > base },
        basedOn = base,
        dropped = dropped.filterValues { it > base }.keys.toList(),
    )

    private companion object {
        /**
         * Number of heartbeats from one that lists all tasks to the next. At about one heartbeat a second, an
         * undetected difference between the worker's tasks and the leader's view lasts up to 10 s.
         */
        const val COMPLETE_HEARTBEAT_INTERVAL = 10L
    }
}

/** Says whether this report is what [earlier] becomes after [elapsedMillis] if only the checkpoint age grows. */
private fun TaskReport.isUnchangedSince(earlier: TaskReport, elapsedMillis: Long): Boolean {
    val expectedMillis = earlier.checkpointAgeMillis?.let { it + elapsedMillis }
    val ageMillis = checkpointAgeMillis
    val sameCheckpoint = when {
        ageMillis == null || expectedMillis == null -> ageMillis == expectedMillis
        else -> abs(ageMillis - expectedMillis) <= AGE_TOLERANCE_MILLIS
    }
    return sameCheckpoint && copy(checkpointAgeMillis = null) == earlier.copy(checkpointAgeMillis = null)
}

private fun TaskReport.placement() = DroppedTask(jobId, taskIndex, token)

/** Accepted error of the checkpoint age: checkpoints are seconds apart, and the age only weighs which task to stop. */
private const val AGE_TOLERANCE_MILLIS = 100L
