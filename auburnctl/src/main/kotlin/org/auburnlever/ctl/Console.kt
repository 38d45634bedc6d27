package org.auburnlever.ctl

import java.io.PrintStream

/** Output streams of a command: results go to [out], everything else to [err]. */
class Console(val out: PrintStream, val err: PrintStream) {
    /** Writes [message] as an error and returns [code]. */
    fun fail(code: ExitCode, message: String): ExitCode {
        err.println("auburnctl: $message")
        return code
    }
}
