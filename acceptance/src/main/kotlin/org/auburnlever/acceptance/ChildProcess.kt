package org.auburnlever.acceptance

import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** A process that the deployment started; its output goes to [log]. All signals are sent to its own process id. */
class ChildProcess private constructor(val name: String, private val process: Process, val log: Path) {
    /** Process id. */
    val pid: Long get() = process.pid()

    /** True until the process ended. */
    val alive: Boolean get() = process.isAlive

    /** Asks the process to end gracefully (SIGTERM). */
    fun terminate() = process.destroy()

    /** Ends the process at once (SIGKILL), also when it is suspended. */
    fun kill() {
        process.destroyForcibly()
        awaitExit(KILL_LIMIT_MILLIS)
    }

    /** Suspends the process (SIGSTOP): its connections stay open and go silent. */
    fun suspend() = signal("STOP")

    /** Lets a suspended process go on (SIGCONT). */
    fun resume() = signal("CONT")

    /** Waits for the end and returns the exit code; throws [CheckFailedException] after [limitMillis]. */
    fun awaitExit(limitMillis: Long): Int {
        val ended = process.waitFor(limitMillis, TimeUnit.MILLISECONDS)
        ensure(ended) { "$name (pid $pid) did not end within $limitMillis ms; its log is $log" }
        return process.exitValue()
    }

    private fun signal(signal: String) {
        ensure(alive) { "$name has ended and can't receive SIG$signal" }
        val code = ProcessBuilder("kill", "-$signal", pid.toString()).start().waitFor()
        ensure(code == 0) { "kill -$signal $pid ended with code $code" }
    }

    companion object {
        private const val KILL_LIMIT_MILLIS = 5_000L

        /** Starts [command]; its output is appended to [log]. */
        fun start(name: String, command: List<String>, log: Path): ChildProcess {
            val process = ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .start()
            return ChildProcess(name, process, log)
        }
    }
}
