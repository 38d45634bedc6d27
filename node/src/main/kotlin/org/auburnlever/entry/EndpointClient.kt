package org.auburnlever.entry

import org.auburnlever.codec.Bytes
import org.auburnlever.routing.SlotGrant
import org.auburnlever.wire.Answer
import org.auburnlever.world.AccountName

/** Sends requests to endpoints. */
fun interface EndpointClient {
    /** Sends [attempt] to the endpoint of [grant] and says what certainly became of it. */
    suspend fun send(grant: SlotGrant, attempt: EndpointAttempt): AttemptResult
}

/** One attempt to run a request; [attemptId] is unique and echoed by the endpoint. */
data class EndpointAttempt(
    val attemptId: String,
    val account: AccountName,
    val repeatable: Boolean,
    val timeoutMillis: Long,
    val contentType: String,
    val body: Bytes,
)

/** What became of an attempt. */
sealed interface AttemptResult {
    /** The endpoint ran the request and [answer] is whole. */
    data class Answered(val answer: Answer) : AttemptResult

    /** The endpoint ran the request and answered with an error status. */
    data class Error(val status: Int, val message: String) : AttemptResult

    /** The endpoint did not begin the request: no connection, or its typed not-run answer. */
    data class NotBegun(val message: String) : AttemptResult

    /** The request may have run: the connection broke, or the answer was crossed or cut short. */
    data class Broken(val reason: BrokenReason, val message: String) : AttemptResult

    /** No answer came in time; the request may still run. */
    data class TimedOut(val message: String) : AttemptResult
}

/** Why an answer could not be used. */
enum class BrokenReason {
    /** The answer carries the id of another attempt, or none. */
    CROSSED,

    /** The body does not have the announced length, or the length is missing. */
    INCOMPLETE,

    /** The answer is longer than this host can hold. */
    TOO_LONG,

    /** The connection broke after the request may have begun. */
    CONNECTION,
}
