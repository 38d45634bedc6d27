package org.auburnlever.workload.state

import com.github.michaelbull.result.mapBoth
import org.auburnlever.workload.FleetAnswer
import org.auburnlever.workload.FleetCall
import org.auburnlever.workload.status

/** Answers [call] from this state at [nowMillis]. */
fun WorkloadState.answer(call: FleetCall.ReadJob, nowMillis: Long): FleetAnswer = admit(call.address).mapBoth(
    { admitted ->
        val job = jobOf(admitted)
        when {
            admitted.relativePath.isEmpty() -> FleetAnswer.Pending(pendingOf(admitted.queue, nowMillis))
            job == null -> FleetAnswer.NotAdmitted(Inadmissible.NO_JOB)
            else -> FleetAnswer.Job(job.status())
        }
    },
    { FleetAnswer.NotAdmitted(it) },
)

/**
 * Returns the answer to [call] if this applied state decides it for good, whatever later commands change; else null.
 *
 * That is so for a desired state whose version is not higher than the applied one. Operators resend orders whose
 * acknowledgement was lost, and a large one would take the whole way through the log again.
 */
fun WorkloadState.settledAnswer(call: FleetCall): FleetAnswer? {
    val appliedVersion = catalog?.version ?: return null
    return if (call is FleetCall.ChangeCatalog && call.catalog.version <= appliedVersion) FleetAnswer.Done else null
}
