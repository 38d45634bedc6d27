package org.auburnlever.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.auburnlever.host.LedgerClient
import org.auburnlever.host.SubmitError
import org.auburnlever.host.notSubmitted
import org.auburnlever.ledger.LedgerCommand
import org.auburnlever.ledger.LedgerReply
import org.auburnlever.ledger.RequestKey
import org.auburnlever.model.DomainName
import org.auburnlever.peer.LedgerQuery
import org.auburnlever.wire.ErrorCode
import org.auburnlever.wire.Outcome

/** Fault in one submission. */
internal enum class LedgerFault {
    NONE,

    /** The command does not reach the ledger, and the caller is told so. */
    NOT_SUBMITTED,

    /** The command does not reach the ledger, and the caller cannot tell. */
    COMMAND_LOST,

    /** The command takes effect and its reply is lost. */
    REPLY_LOST,
}

/** An in-memory ledger that implements claims; [fault] selects the fault of each submission. */
internal class FakeLedger(private val fault: (LedgerCommand) -> LedgerFault = { LedgerFault.NONE }) : LedgerClient {
    private class Entry(val claim: LedgerCommand.Claim, val attempt: Int, val outcome: Outcome?)

    private val claims = mutableMapOf<RequestKey, Entry>()

    @Synchronized
    fun outcome(key: RequestKey): Outcome? = claims[key]?.outcome

    override suspend fun submit(
        domain: DomainName,
        command: LedgerCommand,
        timeoutMillis: Long,
    ): Result<LedgerReply, SubmitError> =
        when (fault(command)) {
            LedgerFault.NONE -> Ok(apply(command))
            LedgerFault.NOT_SUBMITTED -> Err(notSubmitted("no leader"))
            LedgerFault.COMMAND_LOST -> Err(SubmitError.Undecided("no answer"))
            LedgerFault.REPLY_LOST -> {
                apply(command)
                Err(SubmitError.Undecided("no answer"))
            }
        }

    override suspend fun read(
        domain: DomainName,
        query: LedgerQuery,
        timeoutMillis: Long,
    ): Result<String, SubmitError> = Err(notSubmitted("not supported"))

    @Synchronized
    private fun apply(command: LedgerCommand): LedgerReply =
        when (command) {
            is LedgerCommand.Claim -> claim(command)
            is LedgerCommand.RecordOutcome -> record(command)
            else -> error("unexpected command $command")
        }

    private fun claim(command: LedgerCommand.Claim): LedgerReply {
        val entry = claims[command.key]
        return when {
            entry == null || entry.outcome is Outcome.Refused -> {
                val attempt = (entry?.attempt ?: 0) + 1
                claims[command.key] = Entry(command, attempt, null)
                LedgerReply.ClaimGranted(attempt)
            }
            entry.claim.bodySha256Hex != command.bodySha256Hex ->
                LedgerReply.Rejected(Outcome.Refused(ErrorCode.KEY_REUSED, "another body"))
            else -> LedgerReply.ClaimExists(entry.claim.purpose, entry.outcome)
        }
    }

    private fun record(command: LedgerCommand.RecordOutcome): LedgerReply {
        val entry = claims[command.key]
        if (entry?.claim?.claimId == command.claimId && entry.outcome == null) {
            claims[command.key] = Entry(entry.claim, entry.attempt, command.outcome)
        }
        return LedgerReply.Done
    }
}
