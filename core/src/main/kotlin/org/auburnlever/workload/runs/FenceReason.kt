package org.auburnlever.workload.runs

/** Why the fencing token of a worker is raised. */
internal enum class FenceReason {
    /** An order got no answer, so the worker may carry it out later. */
    ORDER_UNANSWERED,

    /** Another incarnation than the known one answers under the worker's id. */
    OTHER_INCARNATION,

    /** The worker does not list a run whose start it has answered. */
    RUN_NOT_LISTED,
}
