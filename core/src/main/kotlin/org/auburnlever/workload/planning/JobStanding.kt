package org.auburnlever.workload.planning

import org.auburnlever.workload.learning.DeclaredDurations
import org.auburnlever.workload.learning.DurationForecast
import org.auburnlever.workload.state.JobRecord

/** How a job that is still to run stands against its completion objective. */
internal enum class JobStanding {
    /** It can end within its objective. */
    ON_TIME,

    /** It will miss its objective; its caller still wants the answer. */
    LATE,

    /** It will end so late that the answer is of no use any more. It runs once nothing else waits. */
    OVERDUE,
}

/** Returns how the step would stand if it started now and took as long as [durations] says. */
internal fun WaitingStep.standing(nowMillis: Long, durations: DurationForecast = DeclaredDurations): JobStanding {
    val endMillis = nowMillis + durations.taskMillis(job, id.step)
    val objectiveMillis = durations.objectiveMillis(job, id.occurrence)
    return when {
        spec.longRunning || endMillis <= objectiveMillis -> JobStanding.ON_TIME
        endMillis <= job.beginMillis(id.occurrence) + job.usefulMillis(durations) -> JobStanding.LATE
        else -> JobStanding.OVERDUE
    }
}

/** Returns the time from a job's begin after which its answer is of no use any more. */
internal fun JobRecord.usefulMillis(durations: DurationForecast = DeclaredDurations): Long =
    (durations.objectiveMillis(this) - beginMillis()) * USELESS_AFTER_OBJECTIVES

/** Multiple of the objective after which an answer is of no use to the operators' callers. */
private const val USELESS_AFTER_OBJECTIVES = 3
