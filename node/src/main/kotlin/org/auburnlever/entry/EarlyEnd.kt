package org.auburnlever.entry

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
