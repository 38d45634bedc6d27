package org.auburnlever.standin

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Describes how a stand-in endpoint treats requests; set on the command line or through the control server.
 *
 * The response to a request that ran is delayed by [delayMillis]; an answer carries [answerPaddingBytes] extra bytes.
 */
@Serializable
data class EndpointBehaviour(
    val mode: EndpointMode = EndpointMode.ANSWER,
    val delayMillis: Long = 0,
    val answerPaddingBytes: Int = 0,
)

/** What a stand-in endpoint does with a request. */
@Serializable
enum class EndpointMode {
    /** Runs it and answers. */
    @SerialName("answer")
    ANSWER,

    /** Runs it and answers with status 500. */
    @SerialName("fail")
    FAIL,

    /** Runs it and never answers. */
    @SerialName("silent")
    SILENT,

    /** Answers with status 503 and `auburn-not-run: true`, without running it. */
    @SerialName("refuse")
    REFUSE,

    /** Runs it, sends half of the answer and closes the connection. */
    @SerialName("cut_short")
    CUT_SHORT,

    /** Runs it and answers with another request id. */
    @SerialName("wrong_id")
    WRONG_ID,
}
