package org.auburnlever.standin

import kotlinx.serialization.Serializable
import org.auburnlever.codec.Codec

/** Body of a stand-in endpoint's answer; [bodySha256Hex] shows the caller that the answer is to its own request. */
@Serializable
data class EndpointAnswer(
    val endpoint: String,
    val requestId: String,
    val bodyBytes: Int,
    val bodySha256Hex: String,
    val run: Int,
    val padding: String = "",
)

/** A request as a stand-in endpoint sees it. */
internal data class EndpointRequest(
    val endpoint: String,
    val requestId: String,
    val bodyBytes: Int,
    val bodySha256Hex: String,
)

/** What a stand-in endpoint sends back. */
internal sealed interface EndpointReaction {
    /** Answer with [json] under [requestId]; [complete] is false when only half of it is sent. */
    data class Answer(val requestId: String, val json: String, val complete: Boolean = true) : EndpointReaction

    /** Answer with an error; [notRun] says that the request was not begun. */
    data class Error(val requestId: String, val status: Int, val notRun: Boolean) : EndpointReaction

    /** Never answer. */
    data object Silence : EndpointReaction
}

/** Says whether a request runs under this behaviour when [inFlight] requests, itself included, hold [slots] slots. */
internal fun EndpointBehaviour.shouldRun(inFlight: Int, slots: Int): Boolean =
    mode != EndpointMode.REFUSE && inFlight <= slots

/** Returns the reaction to a request that was not run. */
internal fun notRun(request: EndpointRequest): EndpointReaction =
    EndpointReaction.Error(request.requestId, status = 503, notRun = true)

/** Returns the reaction to a request that ran; [run] counts the runs of its key. */
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
