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

/** Reason why a request body was not read. */
internal enum class BodyError(val code: ErrorCode, val message: String) {
    /** The body is longer than the limit. */
    TOO_LARGE(ErrorCode.TOO_LARGE, "the request body is longer than the limit"),

    /** The caller closed the connection or sent too slowly. */
    INCOMPLETE(ErrorCode.BAD_REQUEST, "the request body is incomplete"),

    /** Other requests use all memory that is reserved for bodies. */
    NO_MEMORY(ErrorCode.OVERLOADED, "the entry host's memory for request bodies is exhausted"),
}

/** Reads the whole body, of at most [limit] bytes. */
internal suspend fun HttpRequest.readBody(limit: Int): Result<Bytes, BodyError> =
    aggregate().handle { request, failure ->
        val tooLarge = failure?.unwrapped() is ContentTooLargeException
        when {
            tooLarge || request != null && request.content().length() > limit -> Err(BodyError.TOO_LARGE)
            request == null -> Err(BodyError.INCOMPLETE)
            else -> Ok(Bytes(request.content().array()))
        }
    }.await()

/** Returns the cause that a future wrapped in a [CompletionException], otherwise this. */
internal fun Throwable.unwrapped(): Throwable = if (this is CompletionException) cause ?: this else this
