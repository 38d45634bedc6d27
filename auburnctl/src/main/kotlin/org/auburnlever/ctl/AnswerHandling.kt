package org.auburnlever.ctl

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.auburnlever.codec.Codec
import org.auburnlever.wire.ErrorBody

/** Decodes answers and ignores unknown fields, which a newer server may add. */
internal val answerJson = Json(Codec.json) { ignoreUnknownKeys = true }

/**
 * Reports the result of a change and returns its exit code; [show] writes the answer of a change that was made.
 *
 * A refusal that follows an unanswered attempt counts as unknown, since the server of that attempt may have taken the
 * change.
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

/** Prints the raw answer if [show] can't decode it, so that a change that was made does not look like an error. */
private fun Console.showOrPrint(answer: ServerAnswer.Answered, show: (ServerAnswer.Answered) -> Unit) {
    try {
        show(answer)
    } catch (e: SerializationException) {
        err.println("auburnctl: the answer has an unknown layout and is printed as it is (${e.javaClass.simpleName})")
        out.println(answer.text)
    }
}

/**
 * Reports the result of a read and returns its exit code; a read without an answer has failed, as it changes nothing.
 */
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
    // An error without an outcome comes from something in front of auburnd, which may still run the request.
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
