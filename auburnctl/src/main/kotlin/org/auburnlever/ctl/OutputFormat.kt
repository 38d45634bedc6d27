package org.auburnlever.ctl

/** How a read command prints its answer. */
enum class OutputFormat {
    /** Lines and tables for people. */
    TEXT,

    /** The answer of the server as it is. */
    JSON,
}
