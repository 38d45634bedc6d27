package org.auburnlever.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import org.auburnlever.host.LedgerClient
import org.auburnlever.host.SubmitError
import org.auburnlever.host.notSubmitted
import org.auburnlever.ledger.LedgerCommand
import org.auburnlever.ledger.LedgerReply
import org.auburnlever.ledger.RequestKey
import org.auburnlever.model.DomainName
import org.auburnlever.model.HostName
import org.auburnlever.model.Shape
import org.auburnlever.peer.LedgerQuery
import org.auburnlever.wire.ErrorCode
import org.auburnlever.wire.JobPhase
import org.auburnlever.wire.JobSpec
import org.auburnlever.wire.JobView
import org.auburnlever.wire.Outcome
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class JobSubmissionsTest {
    /** A full ledger which the first submission reaches late, when there is [room]. */
    private class FullLedger : LedgerClient {
        val room = CompletableDeferred<Unit>()
        private var claim: LedgerCommand.Claim? = null
        private var submissions = 0

        override suspend fun submit(
            domain: DomainName,
            command: LedgerCommand,
            timeoutMillis: Long,
        ): Result<LedgerReply, SubmitError> = when (command) {
            is LedgerCommand.Claim -> Ok(claim(command))
            is LedgerCommand.SubmitJob -> Ok(submit(command))
            else -> Err(notSubmitted("not supported"))
        }

        override suspend fun read(
            domain: DomainName,
            query: LedgerQuery,
            timeoutMillis: Long,
        ): Result<String, SubmitError> = Err(notSubmitted("not supported"))

        private fun claim(command: LedgerCommand.Claim): LedgerReply {
            val existing = claim
            claim = existing ?: command
            return existing?.let { LedgerReply.ClaimExists(it.purpose, null) } ?: LedgerReply.ClaimGranted(1)
        }

        private suspend fun submit(command: LedgerCommand.SubmitJob): LedgerReply {
            submissions += 1
            if (submissions > 1) return LedgerReply.Rejected(Outcome.Refused(ErrorCode.OVERLOADED, "the queue is full"))
            room.await()
            return LedgerReply.Job(JobView(command.jobId, command.key.account, HOME, JobPhase.QUEUED, attempt = 0))
        }
    }

    /** Guards against the outcome `refused` for a job that an earlier attempt with its key still hands in. */
    @Test
    fun `a resend is not refused by a full ledger while an earlier attempt is on its way`() = runBlocking {
        val ledger = FullLedger()
        val (first, second) = List(2) { JobSubmissions(HostName("entry-$it"), ledger, { BUNDLE }) { _, _ -> HOME } }
        val earlier = async(start = CoroutineStart.UNDISPATCHED) { first.submit(mayBeResend = false) }
        val resend = second.submit(mayBeResend = true)
        ledger.room.complete(Unit)
        assertIs<JobResult.Found>(earlier.await())
        assertEquals("unknown", assertIs<JobResult.Error>(resend).outcome.name)
    }

    private suspend fun JobSubmissions.submit(mayBeResend: Boolean): JobResult {
        val spec = JobSpec(TAGGING, Shape(taskCount = 1, acceleratorsPerTask = 0), estimatedSeconds = 1)
        return submit(BUNDLE.accounts.single(), RequestKey(ACCOUNT, "1764820800-a"), "digest", spec, mayBeResend)
    }
}
