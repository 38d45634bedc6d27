package org.auburnlever.standin

import org.auburnlever.wire.DroppedTask
import org.auburnlever.wire.HeartbeatReply
import org.auburnlever.wire.TaskReport
import org.auburnlever.wire.WorkerHeartbeat
import kotlin.math.abs

/**
 * Reduces heartbeats to what changed since the newest answered one.
 *
 * [baseSequence] is the newest answered heartbeat, null before the first; [completeSequence] the newest that listed all
 * tasks. A report that changed and changed back since the base is listed too, since the leader may have taken a
 * heartbeat in between whose answer was lost.
 */
internal data class HeartbeatDeltaEncoder(
    private val baseSequence: Long? = null,
    private val completeSequence: Long = 0,
    private val reports: Map<DroppedTask, ReportVersion> = emptyMap(),
    private val dropped: Map<DroppedTask, Long> = emptyMap(),
) {
    /** A report as it stands since the heartbeat [sequence], which was built at [atMillis]. */
    data class ReportVersion(val report: TaskReport, val sequence: Long, val atMillis: Long)

    /** Returns [heartbeat], which lists all tasks at [nowMillis], in the form to send, and what was then sent. */
    fun encode(heartbeat: WorkerHeartbeat, nowMillis: Long): Pair<HeartbeatDeltaEncoder, WorkerHeartbeat> {
        val updated = withReports(heartbeat, nowMillis)
        val completeDue = heartbeat.sequence - completeSequence >= COMPLETE_HEARTBEAT_INTERVAL
        return if (baseSequence == null || completeDue) {
            updated.copy(completeSequence = heartbeat.sequence) to heartbeat
        } else {
            updated to updated.delta(heartbeat, baseSequence)
        }
    }

    /** Takes the [reply] to the heartbeat with [sequence]; a leader that lacks the base gets all tasks next. */
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
        /** At about one heartbeat a second, a difference that went unnoticed lasts 10 s. */
        const val COMPLETE_HEARTBEAT_INTERVAL = 10L
    }
}

/** Whether this report follows from [earlier] by the passing of [elapsedMillis] alone. */
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

/** Checkpoints are seconds apart; the age only weighs which task to stop. */
private const val AGE_TOLERANCE_MILLIS = 100L
