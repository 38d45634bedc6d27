package org.auburnlever.acceptance

import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse

class ChildProcessTest {
    private val log = Files.createTempFile("auburnlever", ".log")

    @Test
    fun `a suspended process stays alive and silent until it is resumed or killed`() {
        // Guards against fault tests that suspend no process and so pass without testing a silent one.
        val child = ChildProcess.start("sleeper", listOf("sleep", "60"), log)
        child.suspend()
        awaitTrue("suspended", LIMIT_MILLIS) { state(child) == "T" }
        child.resume()
        awaitTrue("resumed", LIMIT_MILLIS) { state(child) == "S" }
        child.suspend()
        child.kill()
        assertFalse(child.alive)
    }

    @Test
    fun `the exit code is that of the process, and a process that does not end is reported`() {
        assertEquals(3, ChildProcess.start("ender", listOf("sh", "-c", "exit 3"), log).awaitExit(LIMIT_MILLIS))
        val child = ChildProcess.start("sleeper", listOf("sleep", "60"), log)
        assertFailsWith<CheckFailedException> { child.awaitExit(10) }
        child.kill()
    }

    /** Returns the state letter of `/proc/<pid>/stat`: T for stopped, S for sleeping. */
    private fun state(child: ChildProcess): String =
        Files.readString(Path.of("/proc/${child.pid}/stat")).substringAfterLast(") ").take(1)

    private companion object {
        const val LIMIT_MILLIS = 5_000L
    }
}
