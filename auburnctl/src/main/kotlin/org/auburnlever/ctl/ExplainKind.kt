package org.auburnlever.ctl

/** Kind of thing that recorded decisions are about; part of the request path in lower case. */
enum class ExplainKind {
    JOB,
    ACCOUNT,
    WORKER,
}
