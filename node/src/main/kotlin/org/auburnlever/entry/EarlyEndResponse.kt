package org.auburnlever.entry

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.RequestHeaders
import org.auburnlever.wire.ErrorCode
import org.auburnlever.wire.Outcome

/**
 * Returns the response to a request with [headers] that ended without a response of its service. An earlier request
 * with the same key may have run, so a resend that was not passed on is not refused.
 */
internal fun earlyEndResponse(headers: RequestHeaders, end: EarlyEnd): HttpResponse {
    val message = "the request was ended: ${end.detail}"
    val code = when (end.cause) {
        EarlyEndCause.SHUTDOWN -> if (end.isHandedOn) ErrorCode.DEADLINE_EXCEEDED else ErrorCode.SHUTTING_DOWN
        EarlyEndCause.TIMEOUT -> ErrorCode.DEADLINE_EXCEEDED
        EarlyEndCause.FAILURE -> ErrorCode.INTERNAL
    }
    val isUnknown = end.isHandedOn || headers.mayBeResend || code == ErrorCode.INTERNAL
    return (if (isUnknown) Outcome.Unknown(code, message) else Outcome.Refused(code, message)).toHttpResponse()
}
