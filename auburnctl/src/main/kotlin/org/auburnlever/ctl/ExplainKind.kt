package org.auburnlever.ctl

/** What recorded decisions are about. */
enum class ExplainKind {
    JOB,
    ACCOUNT,
    WORKER,
}
