package org.auburnlever.workload.planning

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

/** Returns how the step would stand if it started now. */
internal fun WaitingStep.standing(nowMillis: Long): JobStanding {
    val endMillis = nowMillis + spec.estimatedMillis
    val objectiveMillis = job.objectiveMillis(id.occurrence)
    return when {
        spec.longRunning || endMillis <= objectiveMillis -> JobStanding.ON_TIME
        endMillis <= job.beginMillis(id.occurrence) + job.usefulMillis() -> JobStanding.LATE
        else -> JobStanding.OVERDUE
    }
}

/** Returns the time from a job's begin after which its answer is of no use any more. */
internal fun JobRecord.usefulMillis(): Long = (objectiveMillis() - beginMillis()) * USELESS_AFTER_OBJECTIVES

/** Multiple of the objective after which an answer is of no use to the operators' callers. */
private const val USELESS_AFTER_OBJECTIVES = 3
