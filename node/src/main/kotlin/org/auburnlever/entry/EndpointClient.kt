package org.auburnlever.entry

import org.auburnlever.codec.Bytes
import org.auburnlever.model.AccountName
import org.auburnlever.routing.SlotGrant
import org.auburnlever.wire.Answer

/** Sends requests to endpoints. */
fun interface EndpointClient {
    /** Sends [attempt] to the endpoint of [grant] and returns what is certain about its result. */
    suspend fun send(grant: SlotGrant, attempt: EndpointAttempt): AttemptResult
}

/** One attempt to run a request; [attemptId] is unique, and the endpoint echoes it. */
data class EndpointAttempt(
    val attemptId: String,
    val account: AccountName,
    val repeatable: Boolean,
    val timeoutMillis: Long,
    val contentType: String,
    val body: Bytes,
)

/** Result of an attempt. */
sealed interface AttemptResult {
    /** The endpoint ran the request and [answer] is complete. */
    data class Answered(val answer: Answer) : AttemptResult

    /** The endpoint ran the request and answered with an error status. */
    data class Error(val status: Int, val message: String) : AttemptResult

    /** The endpoint did not begin the request: the connection failed, or the answer has the not-run header. */
    data class NotBegun(val message: String) : AttemptResult

    /** The request may have run: the connection broke, or the answer is unusable. [reason] says which. */
    data class Broken(val reason: BrokenReason, val message: String) : AttemptResult

    /** No answer arrived before the timeout; the request may still run. */
    data class TimedOut(val message: String) : AttemptResult
}

/** Reason why an answer is unusable. */
enum class BrokenReason {
    /** The answer carries the id of another attempt, or no id. */
    CROSSED,

    /** The body does not have the length of the content-length header, or the header is missing. */
    INCOMPLETE,

    /** The answer is longer than the limit of this host. */
    TOO_LONG,

    /** The connection broke after the request may have begun. */
    CONNECTION,
}
