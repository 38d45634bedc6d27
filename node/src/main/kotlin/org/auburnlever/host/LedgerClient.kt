package org.auburnlever.host

import com.github.michaelbull.result.Result
import org.auburnlever.ledger.LedgerCommand
import org.auburnlever.ledger.LedgerReply
import org.auburnlever.model.DomainName
import org.auburnlever.peer.LedgerQuery

/** Calls the leader of any failure domain's ledger, in this process or on another host. */
interface LedgerClient {
    /** Submits [command] and returns the reply once it is durable on a majority. */
    suspend fun submit(
        domain: DomainName,
        command: LedgerCommand,
        timeoutMillis: Long,
    ): Result<LedgerReply, SubmitError>

    /** Returns the JSON answer to [query], read from a leader after it confirmed its leadership with a majority. */
    suspend fun read(domain: DomainName, query: LedgerQuery, timeoutMillis: Long): Result<String, SubmitError>
}

/** The reason why a command has no known reply. */
sealed interface SubmitError {
    val message: String

    /** The command has had no effect and will have none; [evidence] is that of the last attempt. */
    data class NotSubmitted(
        override val message: String,
        val evidence: RefusalEvidence,
        val retryAfterMillis: Long? = null,
    ) : SubmitError

    /** The command may have taken effect, or may still take effect. */
    data class Undecided(override val message: String) : SubmitError
}
