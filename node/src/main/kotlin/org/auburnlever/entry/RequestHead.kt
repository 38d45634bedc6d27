package org.auburnlever.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.RequestHeaders
import org.auburnlever.wire.ErrorCode
import org.auburnlever.wire.Headers
import org.auburnlever.wire.Outcome

/** Options of a service request that its headers set. */
internal data class RequestHead(
    val key: String?,
    val repeatable: Boolean,
    val urgent: Boolean,
    val firstAttempt: Boolean,
    val timeoutMillis: Long,
    val contentType: String,
)

/**
 * Whether the caller may have sent the key of this request before. Then another host may have taken the request, and a
 * host that can't look the key up must not say that it was not run.
 */
internal val RequestHeaders.mayBeResend: Boolean
    get() = contains(Headers.IDEMPOTENCY_KEY) && get(Headers.FIRST_ATTEMPT) != "true"

/** Returns the outcome of a request or job that this host has not taken; unknown if it [mayBeResend]. */
internal fun notTaken(mayBeResend: Boolean, code: ErrorCode, message: String): Outcome =
    if (mayBeResend) Outcome.Unknown(code, message) else Outcome.Refused(code, message)

/**
 * Returns this outcome of a ledger for a request that [mayBeResend]. A refusal for load or quota tells nothing about
 * an earlier request with the same key, which another host may still hand to the ledger.
 */
internal fun Outcome.forResend(mayBeResend: Boolean): Outcome =
    if (mayBeResend && this is Outcome.Refused && code in PASSING_REFUSALS) Outcome.Unknown(code, message) else this

private val PASSING_REFUSALS = setOf(ErrorCode.OVERLOADED, ErrorCode.OVER_QUOTA)

/** Parses the headers of a service request; the error is a message for the caller. */
internal fun RequestHeaders.toRequestHead(timeouts: RequestTimeouts): Result<RequestHead, String> =
    flag(Headers.REPEATABLE, default = true).flatMap { repeatable ->
        flag(Headers.URGENT, default = false).flatMap { urgent ->
            flag(Headers.FIRST_ATTEMPT, default = false).flatMap { firstAttempt ->
                timeout(timeouts).flatMap { timeoutMillis ->
                    val key = get(Headers.IDEMPOTENCY_KEY)
                    val type = get(HttpHeaderNames.CONTENT_TYPE) ?: DEFAULT_CONTENT_TYPE
                    RequestHead(key, repeatable, urgent, firstAttempt, timeoutMillis, type).withKeyIfNeeded()
                }
            }
        }
    }

private fun RequestHead.withKeyIfNeeded(): Result<RequestHead, String> =
    if (!repeatable && key == null) {
        Err("a request that is not repeatable needs the header ${Headers.IDEMPOTENCY_KEY}")
    } else {
        Ok(this)
    }

private fun RequestHeaders.flag(name: String, default: Boolean): Result<Boolean, String> =
    when (val value = get(name)) {
        null -> Ok(default)
        "true" -> Ok(true)
        "false" -> Ok(false)
        else -> Err("header $name is '$value', not true or false")
    }

private fun RequestHeaders.timeout(timeouts: RequestTimeouts): Result<Long, String> {
    val value = get(Headers.TIMEOUT_MILLIS) ?: return Ok(timeouts.defaultMillis)
    return value.toLongOrNull()?.takeIf { it in 1..timeouts.maxMillis }?.let { Ok(it) }
        ?: Err("header ${Headers.TIMEOUT_MILLIS} is '$value', not a number from 1 to ${timeouts.maxMillis}")
}

private const val DEFAULT_CONTENT_TYPE = "application/octet-stream"
