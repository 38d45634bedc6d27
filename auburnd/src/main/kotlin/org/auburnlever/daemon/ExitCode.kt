package org.auburnlever.daemon

/** Exit code of `auburnd`; scripts rely on the numbers. */
enum class ExitCode(val code: Int) {
    /** Shut down as asked, or the settings are valid. */
    SUCCESS(code = 0),

    /** The host could not start, or stopped because it could not keep its guarantees. */
    REFUSED(code = 1),

    /** The command line, the settings or the shared key can't be used. */
    USAGE(code = 2),
}
