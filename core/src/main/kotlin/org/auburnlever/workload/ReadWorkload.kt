package org.auburnlever.workload

import com.github.michaelbull.result.mapBoth

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
