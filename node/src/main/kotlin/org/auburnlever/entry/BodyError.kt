package org.auburnlever.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.linecorp.armeria.common.ContentTooLargeException
import com.linecorp.armeria.common.HttpRequest
import kotlinx.coroutines.future.await
import org.auburnlever.codec.Bytes
import org.auburnlever.wire.ErrorCode
import java.util.concurrent.CompletionException

/** Why a body could not be read. */
internal enum class BodyError(val code: ErrorCode, val message: String) {
    /** It is longer than the limit. */
    TOO_LARGE(ErrorCode.TOO_LARGE, "the body is longer than the limit"),

    /** The caller closed the connection or was too slow. */
    INCOMPLETE(ErrorCode.BAD_REQUEST, "the body is incomplete"),

    /** Other bodies take the memory that is set aside for them. */
    NO_MEMORY(ErrorCode.OVERLOADED, "the entry host holds too many large requests"),
}

/** Reads the whole body of at most [limit] bytes. */
internal suspend fun HttpRequest.readBody(limit: Int): Result<Bytes, BodyError> =
    aggregate().handle { request, failure ->
        val tooLarge = failure?.unwrapped() is ContentTooLargeException
        when {
            tooLarge || request != null && request.content().length() > limit -> Err(BodyError.TOO_LARGE)
            request == null -> Err(BodyError.INCOMPLETE)
            else -> Ok(Bytes(request.content().array()))
        }
    }.await()

/** The cause that a future hides in a [CompletionException]. */
internal fun Throwable.unwrapped(): Throwable = if (this is CompletionException) cause ?: this else this
