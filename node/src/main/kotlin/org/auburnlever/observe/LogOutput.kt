package org.auburnlever.observe

/** Where log lines go. */
enum class LogOutput(internal val target: String) {
    STANDARD_OUTPUT("System.out"),
    STANDARD_ERROR("System.err"),
}
