package org.auburnlever.observe

/** Output stream of the log. */
enum class LogOutput(internal val target: String) {
    STANDARD_OUTPUT("System.out"),
    STANDARD_ERROR("System.err"),
}
