package org.auburnlever.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Error codes of the HTTP interface, each with its HTTP status code. */
@Serializable
enum class ErrorCode(val httpStatus: Int) {
    @SerialName("bad_request")
    BAD_REQUEST(httpStatus = 400),

    @SerialName("unauthorized")
    UNAUTHORIZED(httpStatus = 401),

    @SerialName("unknown_account")
    UNKNOWN_ACCOUNT(httpStatus = 403),

    @SerialName("not_found")
    NOT_FOUND(httpStatus = 404),

    @SerialName("unknown_service")
    UNKNOWN_SERVICE(httpStatus = 404),

    @SerialName("key_reused")
    KEY_REUSED(httpStatus = 409),

    @SerialName("key_expired")
    KEY_EXPIRED(httpStatus = 410),

    @SerialName("key_in_future")
    KEY_IN_FUTURE(httpStatus = 400),

    @SerialName("version_conflict")
    VERSION_CONFLICT(httpStatus = 409),

    @SerialName("bad_signature")
    BAD_SIGNATURE(httpStatus = 403),

    @SerialName("invalid_bundle")
    INVALID_BUNDLE(httpStatus = 422),

    @SerialName("too_large")
    TOO_LARGE(httpStatus = 413),

    @SerialName("impossible_shape")
    IMPOSSIBLE_SHAPE(httpStatus = 422),

    @SerialName("over_quota")
    OVER_QUOTA(httpStatus = 429),

    @SerialName("overloaded")
    OVERLOADED(httpStatus = 503),

    @SerialName("no_endpoint")
    NO_ENDPOINT(httpStatus = 503),

    @SerialName("no_configuration")
    NO_CONFIGURATION(httpStatus = 503),

    @SerialName("shutting_down")
    SHUTTING_DOWN(httpStatus = 503),

    @SerialName("domain_unreachable")
    DOMAIN_UNREACHABLE(httpStatus = 503),

    @SerialName("reply_lost")
    REPLY_LOST(httpStatus = 504),

    @SerialName("deadline_exceeded")
    DEADLINE_EXCEEDED(httpStatus = 504),

    @SerialName("endpoint_failed")
    ENDPOINT_FAILED(httpStatus = 502),

    @SerialName("task_failed")
    TASK_FAILED(httpStatus = 502),

    @SerialName("worker_lost")
    WORKER_LOST(httpStatus = 502),

    @SerialName("cancelled")
    CANCELLED(httpStatus = 409),

    @SerialName("in_progress")
    IN_PROGRESS(httpStatus = 409),

    @SerialName("internal")
    INTERNAL(httpStatus = 500),
}

/** Body of every error answer of the HTTP interface; [outcome] is `refused`, `failed` or `unknown`. */
@Serializable
data class ErrorBody(val code: ErrorCode, val message: String, val outcome: String)
