package org.auburnlever.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnlever.codec.Bytes

/** What became of a request or a job. The family is closed: callers can rely on these four meanings. */
@Serializable
sealed interface Outcome {
    /** It ran and [answer] is whole. */
    @Serializable
    @SerialName("completed")
    data class Completed(val answer: Answer) : Outcome

    /** It was not run, and nothing can still begin it. */
    @Serializable
    @SerialName("refused")
    data class Refused(val code: ErrorCode, val message: String) : Outcome

    /** It ran and failed. */
    @Serializable
    @SerialName("failed")
    data class Failed(val code: ErrorCode, val message: String) : Outcome

    /** It may have run or may still run. */
    @Serializable
    @SerialName("unknown")
    data class Unknown(val code: ErrorCode, val message: String) : Outcome
}

/**
 * The answer to a request.
 *
 * [body] is null when only [lengthBytes] and [sha256Hex] were kept, which happens to resends of answers above the
 * size that the ledger stores.
 */
@Serializable
data class Answer(
    val contentType: String,
    val lengthBytes: Int,
    val sha256Hex: String,
    val body: Bytes?,
)
