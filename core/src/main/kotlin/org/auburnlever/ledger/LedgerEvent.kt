package org.auburnlever.ledger

import org.auburnlever.model.AccountName
import org.auburnlever.model.WorkerName
import org.auburnlever.wire.JobPhase
import org.auburnlever.wire.Outcome

/** A change of the ledger, for metrics and logs. */
sealed interface LedgerEvent {
    /** A claim was granted. */
    data class ClaimGranted(val key: RequestKey, val attempt: Int) : LedgerEvent

    /** A claim ended; [timedOut] when its holder did not record an outcome in time. */
    data class ClaimEnded(val key: RequestKey, val outcome: Outcome, val timedOut: Boolean) : LedgerEvent

    /** A job moved from [from] to [to]. */
    data class JobMoved(
        val jobId: String,
        val account: AccountName,
        val from: JobPhase,
        val to: JobPhase,
        val reason: String,
    ) : LedgerEvent

    /** A job ended. */
    data class JobEnded(val jobId: String, val account: AccountName, val outcome: Outcome) : LedgerEvent

    /** A worker joined, changed, was lost, suspended or returned to service. */
    data class WorkerChanged(val worker: WorkerName, val kind: DecisionKind, val reason: String) : LedgerEvent

    /** A guaranteed shape has no placement ([atRisk]) or has one again. */
    data class GuaranteeChanged(val id: GuaranteeId, val atRisk: Boolean) : LedgerEvent

    /** An action of a schedule was no longer valid and had no effect. */
    data class ActionIgnored(val action: ScheduleAction, val reason: String) : LedgerEvent
}
