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
internal data class SentReports(
    private val baseSequence: Long? = null,
    private val completeSequence: Long = 0,
    private val held: Map<DroppedTask, Changed> = emptyMap(),
    private val dropped: Map<DroppedTask, Long> = emptyMap(),
) {
    /** A report as it stands since the heartbeat [sequence], which was built at [atMillis]. */
    data class Changed(val report: TaskReport, val sequence: Long, val atMillis: Long)

    /** Returns [heartbeat], which lists all tasks at [nowMillis], in the form to send, and what was then sent. */
    fun send(heartbeat: WorkerHeartbeat, nowMillis: Long): Pair<SentReports, WorkerHeartbeat> {
        val seen = with(heartbeat, nowMillis)
        val due = heartbeat.sequence - completeSequence >= COMPLETE_INTERVAL
        return if (baseSequence == null || due) {
            seen.copy(completeSequence = heartbeat.sequence) to heartbeat
        } else {
            seen to seen.reduced(heartbeat, baseSequence)
        }
    }

    /** Takes the [reply] to the heartbeat with [sequence]; a leader that lacks the base gets all tasks next. */
    fun answered(sequence: Long, reply: HeartbeatReply): SentReports = when {
        reply.completeWanted -> copy(baseSequence = null)
        sequence <= (baseSequence ?: 0) -> this
        else -> copy(baseSequence = sequence, dropped = dropped.filterValues { it > sequence })
    }

    private fun with(heartbeat: WorkerHeartbeat, nowMillis: Long): SentReports {
        val next = heartbeat.tasks.associate { report ->
            val earlier = held[report.placement()]?.takeIf { report.continues(it.report, nowMillis - it.atMillis) }
            report.placement() to (earlier ?: Changed(report, heartbeat.sequence, nowMillis))
        }
        val gone = held.keys.filter { it !in next }.associateWith { heartbeat.sequence }
        return copy(held = next, dropped = (dropped - next.keys) + gone)
    }

    private fun reduced(heartbeat: WorkerHeartbeat, base: Long) = heartbeat.copy(
        tasks = heartbeat.tasks.filter { held.getValue(it.placement()).sequence > base },
        basedOn = base,
        dropped = dropped.filterValues { it > base }.keys.toList(),
    )

    private companion object {
        /** At about one heartbeat a second, a difference that went unnoticed lasts 10 s. */
        const val COMPLETE_INTERVAL = 10L
    }
}

/** Whether this report follows from [earlier] by the passing of [elapsedMillis] alone. */
private fun TaskReport.continues(earlier: TaskReport, elapsedMillis: Long): Boolean {
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
