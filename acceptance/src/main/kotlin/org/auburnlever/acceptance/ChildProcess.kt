package org.auburnlever.acceptance

import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** A process that the deployment started; its output goes to [log]. Signals are sent to its process id only. */
class ChildProcess private constructor(val name: String, private val process: Process, val log: Path) {
    /** Process id. */
    val pid: Long get() = process.pid()

    /** True until the process ends. */
    val alive: Boolean get() = process.isAlive

    /** Asks the process to end gracefully (SIGTERM). */
    fun terminate() = process.destroy()

    /** Kills the process at once (SIGKILL), also when it is suspended, and waits for its end. */
    fun kill() {
        process.destroyForcibly()
        awaitExit(KILL_LIMIT_MILLIS)
    }

    /** Suspends the process (SIGSTOP): its connections stay open, but it neither reads nor answers. */
    fun suspend() = signal("STOP")

    /** Resumes a suspended process (SIGCONT). */
    fun resume() = signal("CONT")

    /** Waits for the end and returns the exit code; throws [CheckFailedException] after [limitMillis]. */
    fun awaitExit(limitMillis: Long): Int {
        val ended = process.waitFor(limitMillis, TimeUnit.MILLISECONDS)
        ensure(ended) { "$name (pid $pid) did not end within $limitMillis ms; see its log $log" }
        return process.exitValue()
    }

    private fun signal(signal: String) {
        ensure(alive) { "can't send SIG$signal: $name has ended" }
        val code = ProcessBuilder("kill", "-$signal", pid.toString()).start().waitFor()
        ensure(code == 0) { "kill -$signal $pid failed with exit code $code" }
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
