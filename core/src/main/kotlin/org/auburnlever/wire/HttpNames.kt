package org.auburnlever.wire

/** Headers of the HTTP interface. */
object Headers {
    /** Idempotency key `[<domain>~]<unix seconds>-<text>`; required for jobs and non-repeatable requests. */
    const val IDEMPOTENCY_KEY = "idempotency-key"

    /** Whether the request may run more than once: `true` (default) or `false`. */
    const val REPEATABLE = "auburn-repeatable"

    /**
     * Whether the caller sends this key for the first time: `true` or `false` (default). Only with `true` can a host
     * that does not reach the key's ledger answer `refused`; otherwise an earlier attempt may have run, and the host
     * answers `unknown`.
     */
    const val FIRST_ATTEMPT = "auburn-first-attempt"

    /** Whether the request is served before routine ones: `true` or `false` (default). */
    const val URGENT = "auburn-urgent"

    /** Time until the caller stops waiting, in milliseconds. */
    const val TIMEOUT_MILLIS = "auburn-timeout-millis"

    /** Outcome of a request: `completed`, `refused`, `failed` or `unknown`. Set on answers. */
    const val OUTCOME = "auburn-outcome"

    /** Error code, one of [ErrorCode]. Set on error answers. */
    const val ERROR_CODE = "auburn-error-code"

    /** Id of one attempt. Set on requests to endpoints, which return it with the answer. */
    const val REQUEST_ID = "auburn-request-id"

    /** Name of the client account. Set on requests to endpoints. */
    const val ACCOUNT = "auburn-account"

    /** `true` if the endpoint did not begin the request. Set by endpoints on error answers. */
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
