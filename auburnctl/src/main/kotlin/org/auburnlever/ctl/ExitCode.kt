package org.auburnlever.ctl

/** Exit code of `auburnctl`; scripts rely on the numbers. */
enum class ExitCode(val code: Int) {
    /** The change was made, or the requested document was printed. */
    SUCCESS(code = 0),

    /** The request was refused, failed or found nothing; a refused change has no effect. */
    REFUSED(code = 1),

    /** The command line or a file named on it can't be used; nothing was sent. */
    USAGE(code = 2),

    /** A change was sent and may have taken effect; the same command can be repeated safely. */
    UNKNOWN(code = 3),
}
