package org.auburnlever.fleet

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import org.auburnlever.host.RefusalEvidence
import org.auburnlever.host.SubmitError
import org.auburnlever.workload.FleetAnswer
import org.auburnlever.workload.FleetCall
import org.auburnlever.workload.state.Inadmissible

/**
 * Returns whether [answer] says that this call has no effect. A read has none in any case, and the answer that the job
 * to cancel does not exist is what the caller asked for.
 */
internal fun FleetCall.isRefusedBy(answer: FleetAnswer): Boolean = answer is FleetAnswer.NotAdmitted && when {
    isRead -> false
    this is FleetCall.CancelJob -> answer.reason != Inadmissible.NO_JOB
    else -> true
}

/** Whether the call changes nothing. */
internal val FleetCall.isRead: Boolean
    get() = this is FleetCall.ReadJob || this == FleetCall.ReadCatalog || this == FleetCall.ReadEvacuations

/** A refusal that is reported to the caller, and its [evidence]. */
internal class ReportedRefusal(val reason: String, val evidence: RefusalEvidence)

/** Returns the refusal that [result] reports to the caller of this call; null if it reports none. */
internal fun FleetCall.refusalIn(result: Result<FleetAnswer, SubmitError>): ReportedRefusal? = result.fold(
    { answer ->
        (answer as? FleetAnswer.NotAdmitted)?.takeIf { isRefusedBy(it) }
            ?.let { ReportedRefusal(it.reason.name, RefusalEvidence.REFUSED_BY_LOG) }
    },
    { (it as? SubmitError.NotSubmitted)?.let { error -> ReportedRefusal("none", error.evidence) } },
)
