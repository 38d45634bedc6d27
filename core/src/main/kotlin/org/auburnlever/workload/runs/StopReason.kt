package org.auburnlever.workload.runs

import org.auburnlever.workload.holds.StepRoom
import org.auburnlever.workload.state.JobPhase
import org.auburnlever.workload.state.StepId

/** Why the leader orders a run to stop, as the log event `task_stopping` tells. */
internal sealed interface StopReason {
    /** The job has ended in [phase], or is not stored any more if that is null; `CANCELED` after a cancellation. */
    data class JobEnded(val phase: JobPhase?) : StopReason

    /** Another member of the gang has ended or was lost. */
    data object GangIncomplete : StopReason

    /** The [step], of a job of [priority], needs the room of the run; [room] is what was free for it then. */
    data class Preempted(val step: StepId, val priority: Int?, val room: StepRoom?) : StopReason

    /** The run moves out of an evacuated failure domain. */
    data object Evacuation : StopReason

    /** The run is urgent and makes no progress. */
    data object Stalled : StopReason

    /** The run disturbs a serving task, and its worker can't pace it. */
    data object NotPaced : StopReason
}

/** The fields of a log line for this reason. */
internal val StopReason.logFields: Map<String, Any?>
    get() = when (this) {
        is StopReason.JobEnded -> mapOf("reason" to "JOB_ENDED", "phase" to phase)
        StopReason.GangIncomplete -> mapOf("reason" to "GANG_INCOMPLETE")
        is StopReason.Preempted -> mapOf(
            "reason" to "PREEMPTED",
            "for" to step,
            "forPriority" to priority,
            "forTasks" to room?.tasks,
            "workersWithRoom" to room?.workersWithRoom,
            "workersKept" to room?.workersKept,
            "noRoom" to room?.noRoom,
        )
        StopReason.Evacuation -> mapOf("reason" to "EVACUATION")
        StopReason.Stalled -> mapOf("reason" to "STALLED")
        StopReason.NotPaced -> mapOf("reason" to "NOT_PACED")
    }
