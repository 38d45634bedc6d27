package org.auburnlever.host

import com.github.michaelbull.result.Result
import org.auburnlever.ledger.LedgerCommand
import org.auburnlever.ledger.LedgerReply
import org.auburnlever.peer.LedgerQuery
import org.auburnlever.world.DomainName

/** Reaches the leader of any failure domain's ledger, in this process or another. */
interface LedgerClient {
    /** Submits [command] and returns the reply once it is durable on a majority. */
    suspend fun submit(
        domain: DomainName,
        command: LedgerCommand,
        timeoutMillis: Long,
    ): Result<LedgerReply, SubmitError>

    /** Returns the JSON answer to [query], read from a leader that confirmed its leadership. */
    suspend fun read(domain: DomainName, query: LedgerQuery, timeoutMillis: Long): Result<String, SubmitError>
}

/** Why a command has no known reply. */
sealed interface SubmitError {
    val message: String

    /** The command has no effect, now or later. */
    data class NotSubmitted(override val message: String) : SubmitError

    /** The command may have taken effect or may still do so. */
    data class Undecided(override val message: String) : SubmitError
}
