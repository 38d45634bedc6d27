package org.auburnlever.ctl

import java.io.PrintStream

/** Where a command writes: results to [out], everything else to [err]. */
class Console(val out: PrintStream, val err: PrintStream) {
    /** Writes an explanation of a problem and returns [code]. */
    fun fail(code: ExitCode, message: String): ExitCode {
        err.println("auburnctl: $message")
        return code
    }
}
