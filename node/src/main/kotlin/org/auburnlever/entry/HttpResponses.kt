package org.auburnlever.entry

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import kotlinx.serialization.KSerializer
import org.auburnlever.codec.Codec
import org.auburnlever.wire.ErrorBody
import org.auburnlever.wire.ErrorCode
import org.auburnlever.wire.Headers
import org.auburnlever.wire.Outcome

/** Returns a response with [value] as JSON. */
internal fun <T> jsonResponse(
    serializer: KSerializer<T>,
    value: T,
    status: HttpStatus = HttpStatus.OK,
): HttpResponse = HttpResponse.of(status, MediaType.JSON, Codec.json.encodeToString(serializer, value))

/** Returns an error response to a request that was not run. */
internal fun refusal(code: ErrorCode, message: String): HttpResponse = Outcome.Refused(code, message).toHttpResponse()

/** Returns the response for an outcome: the endpoint's answer, or an [ErrorBody] that says whether the request ran. */
internal fun Outcome.toHttpResponse(): HttpResponse =
    when (this) {
        is Outcome.Completed -> completedResponse()
        is Outcome.Refused -> errorResponse(code, message, "refused")
        is Outcome.Failed -> errorResponse(code, message, "failed")
        is Outcome.Unknown -> errorResponse(code, message, "unknown")
    }

private fun Outcome.Completed.completedResponse(): HttpResponse {
    val body = answer.body ?: return errorResponse(
        ErrorCode.TOO_LARGE,
        "completed; the answer of ${answer.lengthBytes} bytes with SHA-256 ${answer.sha256Hex} was not stored",
        "completed",
    )
    val headers = ResponseHeaders.builder(HttpStatus.OK)
        .contentType(MediaType.parse(answer.contentType))
        .add(Headers.OUTCOME, "completed")
        .build()
    return HttpResponse.of(headers, HttpData.wrap(body.toByteArray()))
}

private fun errorResponse(code: ErrorCode, message: String, outcome: String): HttpResponse =
    errorResponse(ErrorBody.serializer(), ErrorBody(code, message, outcome), code, outcome)

/** Returns a response with [body] and the headers that all error responses have. */
internal fun <T> errorResponse(
    serializer: KSerializer<T>,
    body: T,
    code: ErrorCode,
    outcome: String,
): HttpResponse {
    val headers = ResponseHeaders.builder(HttpStatus.valueOf(code.httpStatus))
        .contentType(MediaType.JSON)
        .add(Headers.OUTCOME, outcome)
        .add(Headers.ERROR_CODE, Codec.json.encodeToString(ErrorCode.serializer(), code).trim('"'))
        .build()
    return HttpResponse.of(headers, HttpData.ofUtf8(Codec.json.encodeToString(serializer, body)))
}
