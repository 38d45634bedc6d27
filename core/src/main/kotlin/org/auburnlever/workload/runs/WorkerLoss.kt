package org.auburnlever.workload.runs

/** Why no run of a worker can be active any more. */
internal enum class WorkerLoss {
    /** A later incarnation has started under the worker's id. */
    RESTARTED,

    /** Another worker answers at its address. */
    REPLACED,

    /** It announced its shutdown and does not answer. */
    LEFT,

    /** It did not list its runs for as long as its lease lasts. */
    LEASE_EXPIRED,
}
