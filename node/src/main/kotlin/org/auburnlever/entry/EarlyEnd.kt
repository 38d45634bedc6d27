package org.auburnlever.entry

import com.linecorp.armeria.common.ContentTooLargeException
import com.linecorp.armeria.common.ShuttingDownException
import com.linecorp.armeria.server.HttpResponseException
import com.linecorp.armeria.server.HttpStatusException
import com.linecorp.armeria.server.RequestTimeoutException

/** Why a server ends a request in place of its service. */
enum class EarlyEndCause { SHUTDOWN, TIMEOUT, FAILURE }

/**
 * The end of a request whose service has not returned a response.
 *
 * @property isHandedOn whether the request has been passed on, so that its outcome is not known; otherwise it was not
 *   passed on and will not be
 * @property detail describes the cause for the caller and the log
 */
data class EarlyEnd(val cause: EarlyEndCause, val isHandedOn: Boolean, val detail: String)

/** Returns the cause of an early end that the server reports with this exception. */
internal fun Throwable.toEarlyEndCause(): EarlyEndCause = when (this) {
    is ShuttingDownException -> EarlyEndCause.SHUTDOWN
    is RequestTimeoutException -> EarlyEndCause.TIMEOUT
    else -> EarlyEndCause.FAILURE
}

/** Whether this exception has a status that says what is wrong with a request that was not passed on. */
internal fun Throwable.hasStatus(): Boolean =
    this is ContentTooLargeException || this is HttpStatusException || this is HttpResponseException
