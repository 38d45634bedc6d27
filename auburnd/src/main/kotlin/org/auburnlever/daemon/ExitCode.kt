package org.auburnlever.daemon

/** Exit codes of `auburnd`; scripts rely on the numbers. */
enum class ExitCode(val code: Int) {
    /** The command succeeded, or the host shut down on request. */
    SUCCESS(code = 0),

    /** The host or the data folder could not be set up, or the host stopped since it could not keep its guarantees. */
    REFUSED(code = 1),

    /** The command line, the settings or the shared key can't be used. */
    USAGE(code = 2),
}
