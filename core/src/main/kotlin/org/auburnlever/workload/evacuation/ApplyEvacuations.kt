package org.auburnlever.workload.evacuation

import org.auburnlever.workload.state.AppliedWorkload
import org.auburnlever.workload.state.WorkloadCommand
import org.auburnlever.workload.state.WorkloadReply
import org.auburnlever.workload.state.WorkloadState

/** Puts an evacuation in force; one that is in force keeps its start, so that a resent order changes nothing. */
internal fun WorkloadState.evacuate(command: WorkloadCommand.Evacuate): AppliedWorkload {
    val domain = command.failureDomain
    val next = if (domain in evacuations) {
        this
    } else {
        copy(evacuations = evacuations.put(domain, nowMillis), endedEvacuations = endedEvacuations.remove(domain))
    }
    return AppliedWorkload(next, WorkloadReply.Done)
}

/** Withdraws an evacuation; a domain that is not evacuated stays as it is. */
internal fun WorkloadState.endEvacuation(command: WorkloadCommand.EndEvacuation): AppliedWorkload {
    val domain = command.failureDomain
    val next = evacuations[domain]?.let { startMillis ->
        val ended = EndedEvacuation(startMillis, nowMillis)
        copy(evacuations = evacuations.remove(domain), endedEvacuations = endedEvacuations.put(domain, ended))
    }
    return AppliedWorkload(next ?: this, WorkloadReply.Done)
}
