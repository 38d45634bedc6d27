package org.auburnlever.standin

import kotlinx.serialization.Serializable
import org.auburnlever.codec.Codec

/** Body of a stand-in endpoint's answer; by [bodySha256Hex] the caller checks that it answers its own request. */
@Serializable
data class EndpointAnswer(
    val endpoint: String,
    val requestId: String,
    val bodyBytes: Int,
    val bodySha256Hex: String,
    val run: Int,
    val padding: String = "",
)

/** The parts of a request that a stand-in endpoint uses. */
internal data class EndpointRequest(
    val endpoint: String,
    val requestId: String,
    val bodyBytes: Int,
    val bodySha256Hex: String,
)

/** What a stand-in endpoint sends back. */
internal sealed interface EndpointReaction {
    /** Status 200 with [json] and [requestId]; if [complete] is false, only half of the body is sent. */
    data class Answer(val requestId: String, val json: String, val complete: Boolean = true) : EndpointReaction

    /** Error [status]; [notRun] tells the caller that the request did not run. */
    data class Error(val requestId: String, val status: Int, val notRun: Boolean) : EndpointReaction

    /** No answer: the response never begins. */
    data object Silence : EndpointReaction
}

/** Says whether a request runs under this behaviour when [inFlight] requests, including it, share [slots] slots. */
internal fun EndpointBehaviour.shouldRun(inFlight: Int, slots: Int): Boolean =
    mode != EndpointMode.REFUSE && inFlight <= slots

/** Returns the reaction to a request that was not run. */
internal fun notRun(request: EndpointRequest): EndpointReaction =
    EndpointReaction.Error(request.requestId, status = 503, notRun = true)

/** Returns the reaction to a request that ran; [run] is how often it ran, as counted by [RunCounts]. */
internal fun EndpointBehaviour.reaction(request: EndpointRequest, run: Int): EndpointReaction =
    when (mode) {
        EndpointMode.ANSWER -> EndpointReaction.Answer(request.requestId, answerJson(request, run))
        EndpointMode.FAIL -> EndpointReaction.Error(request.requestId, status = 500, notRun = false)
        EndpointMode.SILENT -> EndpointReaction.Silence
        EndpointMode.REFUSE -> notRun(request)
        EndpointMode.CUT_SHORT -> EndpointReaction.Answer(request.requestId, answerJson(request, run), complete = false)
        EndpointMode.WRONG_ID -> EndpointReaction.Answer("${request.requestId}-wrong", answerJson(request, run))
    }

private fun EndpointBehaviour.answerJson(request: EndpointRequest, run: Int): String {
    val answer = EndpointAnswer(
        endpoint = request.endpoint,
        requestId = request.requestId,
        bodyBytes = request.bodyBytes,
        bodySha256Hex = request.bodySha256Hex,
        run = run,
        padding = "x".repeat(answerPaddingBytes),
    )
    return Codec.json.encodeToString(EndpointAnswer.serializer(), answer)
}
