package org.auburnlever.ctl

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.auburnlever.codec.Codec
import org.auburnlever.wire.ErrorBody

/** Decodes answers; fields that a newer server adds are ignored. */
internal val answerJson = Json(Codec.json) { ignoreUnknownKeys = true }

/**
 * Ends a change: [show] writes the answer if the servers did what they were asked for.
 *
 * A refusal after a server that did not answer is no certain refusal, since that server may have taken the change.
 */
internal fun Console.reportChange(answer: ServerAnswer, show: (ServerAnswer.Answered) -> Unit): ExitCode =
    when (answer) {
        is ServerAnswer.None -> fail(answer.changeExitCode(), "no server answered: ${answer.message}")

        is ServerAnswer.Answered -> {
            val code = answer.changeExitCode()
            if (answer.isSuccess) showOrPrint(answer, show) else fail(code, answer.describeError())
            code
        }
    }

/** A change that was made must not look like an error because its answer has another layout. */
private fun Console.showOrPrint(answer: ServerAnswer.Answered, show: (ServerAnswer.Answered) -> Unit) {
    try {
        show(answer)
    } catch (e: SerializationException) {
        err.println("auburnctl: the answer has an unknown layout (${e.javaClass.simpleName})")
        out.println(answer.text)
    }
}

/** Ends a read: [show] writes the answer; without one the command failed, since reads change nothing. */
internal fun Console.reportRead(answer: ServerAnswer, show: (ServerAnswer.Answered) -> Unit): ExitCode =
    when (answer) {
        is ServerAnswer.None -> fail(ExitCode.REFUSED, "no server answered: ${answer.message}")

        is ServerAnswer.Answered ->
            if (answer.isSuccess) {
                show(answer)
                ExitCode.SUCCESS
            } else {
                fail(ExitCode.REFUSED, answer.describeError())
            }
    }

private fun ServerAnswer.None.changeExitCode(): ExitCode = if (maybeSent) ExitCode.UNKNOWN else ExitCode.REFUSED

private fun ServerAnswer.Answered.changeExitCode(): ExitCode {
    // An error without an outcome does not come from auburnd, which may still have the request.
    val uncertain = outcome == "unknown" || earlierAttemptLost || outcome == null && status.isServerError
    return when {
        isSuccess || outcome == "completed" -> ExitCode.SUCCESS
        uncertain -> ExitCode.UNKNOWN
        else -> ExitCode.REFUSED
    }
}

private fun ServerAnswer.Answered.describeError(): String {
    val error = try {
        answerJson.decodeFromString(ErrorBody.serializer(), text)
    } catch (e: SerializationException) {
        return "$server answered with status $status and no error body (${e.javaClass.simpleName})"
    }
    val lost = if (earlierAttemptLost) "; a server tried before did not answer and may have taken the change" else ""
    return "$server: ${error.outcome}: ${error.message}$lost"
}
