package org.auburnlever.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnlever.codec.Bytes

/** Outcome of a request or a job. The set is closed: callers can rely on these four meanings. */
@Serializable
sealed interface Outcome {
    /** It ran, and [answer] is complete. */
    @Serializable
    @SerialName("completed")
    data class Completed(val answer: Answer) : Outcome

    /** It did not run and can no longer begin. */
    @Serializable
    @SerialName("refused")
    data class Refused(val code: ErrorCode, val message: String) : Outcome

    /** It ran and failed. */
    @Serializable
    @SerialName("failed")
    data class Failed(val code: ErrorCode, val message: String) : Outcome

    /** It may have run, or may still begin or be running. */
    @Serializable
    @SerialName("unknown")
    data class Unknown(val code: ErrorCode, val message: String) : Outcome
}

/**
 * The answer to a request.
 *
 * [body] is null if only [lengthBytes] and [sha256Hex] were stored: a resend of a request gets this when the answer is
 * larger than the ledger stores.
 */
@Serializable
data class Answer(
    val contentType: String,
    val lengthBytes: Int,
    val sha256Hex: String,
    val body: Bytes?,
)
