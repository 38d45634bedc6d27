package org.auburnlever.entry

import com.github.michaelbull.result.mapBoth
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.auburnlever.host.LedgerClient
import org.auburnlever.ledger.LedgerCommand
import org.auburnlever.model.DomainName
import org.auburnlever.wire.Outcome

/** Records outcomes of claimed requests in the ledger; [clock] returns monotonic milliseconds. */
internal class OutcomeRecorder(
    private val ledger: LedgerClient,
    private val scope: CoroutineScope,
    private val metrics: RoutingMetrics,
    private val clock: () -> Long,
) {
    private val recording = RequestsInProgress()

    /** Number of outcomes that are still being recorded. */
    val unrecorded: Int get() = recording.count

    /**
     * Records the outcome. Waits until it is recorded, so that a resend finds it, but not past the caller's deadline.
     * After the deadline, attempts to record it continue in the background.
     */
    suspend fun record(keyed: KeyedRequest, outcome: Outcome) {
        val untilMillis = keyed.deadlineMillis + RECORD_GRACE_MILLIS
        val command = LedgerCommand.RecordOutcome(keyed.key, keyed.claimId, outcome)
        val job = scope.launch { recording.track { recordUntil(keyed.owner, command, untilMillis) } }
        withTimeoutOrNull((keyed.deadlineMillis - clock()).coerceAtLeast(1)) { job.join() }
    }

    private suspend fun recordUntil(owner: DomainName, command: LedgerCommand, untilMillis: Long) {
        var backoffMillis = INITIAL_BACKOFF_MILLIS
        var recorded = submitOutcome(owner, command, untilMillis)
        while (!recorded && untilMillis - clock() > backoffMillis) {
            delay(backoffMillis)
            backoffMillis = (backoffMillis * 2).coerceAtMost(MAX_BACKOFF_MILLIS)
            recorded = submitOutcome(owner, command, untilMillis)
        }
        metrics.recorded(if (recorded) "recorded" else "given_up")
    }

    private suspend fun submitOutcome(owner: DomainName, command: LedgerCommand, untilMillis: Long): Boolean {
        val timeoutMillis = (untilMillis - clock()).coerceIn(1, MAX_SUBMIT_TIMEOUT_MILLIS)
        return ledger.submit(owner, command, timeoutMillis).mapBoth({ true }, { false })
    }

    private companion object {
        const val INITIAL_BACKOFF_MILLIS = 50L
        const val MAX_BACKOFF_MILLIS = 500L

        /** A claim without an outcome becomes `unknown` in the ledger 1 s after its deadline. */
        const val RECORD_GRACE_MILLIS = 1_000L

        /** Limits the wait for one leader, so that a new leader is tried while the outcome can still be recorded. */
        const val MAX_SUBMIT_TIMEOUT_MILLIS = 1_000L
    }
}
