package org.auburnlever.wire

/** Headers of the HTTP interface. */
object Headers {
    /** Caller's key: `[<domain>~]<unix seconds>-<text>`; required for jobs and non-repeatable requests. */
    const val IDEMPOTENCY_KEY = "idempotency-key"

    /** `true` (default) or `false`. */
    const val REPEATABLE = "auburn-repeatable"

    /**
     * `true` when the caller has never sent this key before. Only then can a host that does not reach the key's ledger
     * answer `refused`; otherwise an earlier attempt may have run, and it answers `unknown`. Default `false`.
     */
    const val FIRST_ATTEMPT = "auburn-first-attempt"

    /** `true` or `false` (default). */
    const val URGENT = "auburn-urgent"

    /** Time that the caller still waits, in milliseconds. */
    const val TIMEOUT_MILLIS = "auburn-timeout-millis"

    /** Outcome of a request, on answers: `completed`, `refused`, `failed` or `unknown`. */
    const val OUTCOME = "auburn-outcome"

    /** Error code, on error answers. */
    const val ERROR_CODE = "auburn-error-code"

    /** Id of one attempt, towards endpoints; the endpoint echoes it. */
    const val REQUEST_ID = "auburn-request-id"

    /** Client account, towards endpoints. */
    const val ACCOUNT = "auburn-account"

    /** `true` on an endpoint's error answer when the endpoint did not begin the request. */
    const val NOT_RUN = "auburn-not-run"
}

/** Paths of the HTTP interface. */
object Paths {
    const val SERVICES = "/v1/services"
    const val JOBS = "/v1/jobs"
    const val ENDPOINT_ANNOUNCE = "/v1/endpoints/announce"
    const val WORKER_HEARTBEAT = "/v1/workers/heartbeat"
    const val CONFIGURATION = "/v1/configuration"
    const val PROPOSALS = "/v1/configuration/proposals"
    const val SIGN_OFFS = "/v1/configuration/sign-offs"
    const val STATUS = "/v1/status"
    const val DUMP = "/v1/dump"
    const val EXPLAIN = "/v1/explain"
    const val HEALTH = "/health"
    const val METRICS = "/metrics"

    /** Path on an endpoint that receives requests. */
    const val ENDPOINT_REQUESTS = "/requests"
}
