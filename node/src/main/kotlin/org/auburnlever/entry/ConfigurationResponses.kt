package org.auburnlever.entry

import com.linecorp.armeria.common.HttpResponse
import org.auburnlever.configuration.ConfigurationError
import org.auburnlever.configuration.ConfigurationReply
import org.auburnlever.host.SubmitError
import org.auburnlever.wire.ConfigurationChangeView
import org.auburnlever.wire.ConflictBody
import org.auburnlever.wire.ErrorCode
import org.auburnlever.wire.Outcome

/** Returns the response to a proposal or sign-off: the state of the proposal, or the reason for a refusal. */
internal fun ConfigurationReply.toHttpResponse(): HttpResponse =
    when (this) {
        is ConfigurationReply.Accepted -> changed(ConfigurationChangeView("accepted", version, digestHex))
        is ConfigurationReply.Pending -> changed(ConfigurationChangeView("pending", version, digestHex, missing))
        is ConfigurationReply.Conflict -> conflict(this)
        is ConfigurationReply.Refused -> refusal(error)
    }

private fun changed(view: ConfigurationChangeView): HttpResponse =
    jsonResponse(ConfigurationChangeView.serializer(), view)

private fun conflict(reply: ConfigurationReply.Conflict): HttpResponse {
    val winner = reply.winnerDigestHex?.let { "; the number is held by the bundle with digest $it" }.orEmpty()
    val message = "the accepted version is ${reply.acceptedVersion}$winner"
    val body =
        ConflictBody(ErrorCode.VERSION_CONFLICT, message, "refused", reply.acceptedVersion, reply.winnerDigestHex)
    return errorResponse(ConflictBody.serializer(), body, body.code, body.outcome)
}

/** Returns the response to a change that was refused and has no effect. */
internal fun refusal(error: ConfigurationError): HttpResponse =
    when (error) {
        is ConfigurationError.InvalidBundle -> refusal(ErrorCode.INVALID_BUNDLE, error.message)
        is ConfigurationError.BadSignature -> refusal(ErrorCode.BAD_SIGNATURE, error.message)
        is ConfigurationError.UnknownProposal -> refusal(ErrorCode.NOT_FOUND, error.message)
    }

/** Returns the response to a change without a known reply: refused only if it has no effect, now or later. */
internal fun SubmitError.toHttpResponse(): HttpResponse =
    when (this) {
        is SubmitError.NotSubmitted -> refusal(ErrorCode.DOMAIN_UNREACHABLE, message)
        is SubmitError.Undecided -> Outcome.Unknown(ErrorCode.DEADLINE_EXCEEDED, message).toHttpResponse()
    }
