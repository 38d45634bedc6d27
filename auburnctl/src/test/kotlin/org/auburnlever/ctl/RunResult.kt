package org.auburnlever.ctl

import java.io.ByteArrayOutputStream
import java.io.PrintStream

/** Exit code and output of a run of `auburnctl` in this process. */
internal data class RunResult(val code: ExitCode, val out: String, val err: String)

internal fun auburnctl(vararg args: String): RunResult {
    val out = ByteArrayOutputStream()
    val err = ByteArrayOutputStream()
    val code = runAuburnctl(arrayOf(*args), Console(PrintStream(out), PrintStream(err)))
    return RunResult(code, out.toString(), err.toString())
}
