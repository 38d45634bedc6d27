package org.auburnlever.ctl

/** Output format of a read command. */
enum class OutputFormat {
    /** Lines and tables for people. */
    TEXT,

    /** The unchanged answer of the server. */
    JSON,
}
