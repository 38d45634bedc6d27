package org.auburnlever.workload.state

import com.github.michaelbull.result.mapBoth
import org.auburnlever.workload.FleetAnswer
import org.auburnlever.workload.FleetCall
import org.auburnlever.workload.status

/** Answers [call] from this state. */
fun WorkloadState.answer(call: FleetCall.ReadJob): FleetAnswer = admit(call.address).mapBoth(
    { admitted ->
        val job = jobOf(admitted)
        when {
            admitted.relativePath.isEmpty() -> FleetAnswer.Pending(pendingOf(admitted.queue))
            job == null -> FleetAnswer.NotAdmitted(Inadmissible.NO_JOB)
            else -> FleetAnswer.Job(job.status())
        }
    },
    { FleetAnswer.NotAdmitted(it) },
)
