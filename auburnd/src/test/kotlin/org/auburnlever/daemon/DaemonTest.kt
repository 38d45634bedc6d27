package org.auburnlever.daemon

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import java.nio.file.Path
import kotlin.io.path.copyTo
import kotlin.io.path.createTempDirectory
import kotlin.io.path.readText
import kotlin.io.path.writeText
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

class DaemonTest {
    private val folder = createTempDirectory("auburnd")
    private val settings = Path.of("../conf/auburnd.sample.json").copyTo(folder.resolve("auburnd.json"))
    private val key = folder.resolve("shared.key").also { it.writeText("k".repeat(32)) }
    private val calls = mutableListOf<String>()
    private val out = ByteArrayOutputStream()
    private val err = ByteArrayOutputStream()

    @AfterTest
    fun deleteFolder() {
        folder.toFile().deleteRecursively()
    }

    private fun run(vararg args: String): ExitCode {
        val actions = DaemonActions(
            format = { settings ->
                calls += "format ${settings.dataFolder?.fileName}"
                Ok(Unit)
            },
            run = { settings, key ->
                calls += "run ${settings.self.host} with ${key.size} bytes"
                Err("port in use\nsecond line")
            },
        )
        return runAuburnd(arrayOf(*args), actions, PrintStream(out), PrintStream(err))
    }

    /** Guards against a check that also formats or runs the host, or that does not read the key file. */
    @Test
    fun `check-settings checks the settings and the key, and does nothing else`() {
        assertEquals(ExitCode.SUCCESS, run("--settings", "$settings", "--check-settings"))
        assertEquals("the settings of host thies-a-1 are valid\n", out.toString())
        key.writeText("short")
        assertEquals(ExitCode.USAGE, run("--settings", "$settings", "--check-settings"))
        assertContains(err.toString(), "auburnd: the secret in $key can't be used")
        assertEquals(emptyList(), calls)
    }

    /** Guards against a run that also formats the data folder, and against exit code 0 after a failed run. */
    @Test
    fun `format and run are separate, and a failure has exit code 1`() {
        assertEquals(ExitCode.SUCCESS, run("--settings", "$settings", "--format"))
        assertEquals(ExitCode.REFUSED, run("--settings", "$settings"))
        assertEquals(listOf("format data", "run thies-a-1 with 32 bytes"), calls)
        assertEquals("auburnd: port in use\nauburnd: second line\n", err.toString())
    }

    /** Guards against running with invalid settings, and against other exit codes for usage errors. */
    @Test
    fun `usage errors and invalid settings have exit code 2`() {
        assertEquals(ExitCode.USAGE, run())
        assertEquals(ExitCode.USAGE, run("--settings"))
        assertEquals(ExitCode.USAGE, run("--settings", "$settings", "--verbose"))
        assertEquals(ExitCode.USAGE, run("--settings", "/does/not/exist"))
        settings.writeText(settings.readText().replace("8080", "80800"))
        assertEquals(ExitCode.USAGE, run("--settings", "$settings"))
        assertContains(err.toString(), "auburnd: httpPort: 80800 is not permitted; permitted: 1 to 65535\n")
        assertEquals(ExitCode.SUCCESS, run("--help"))
        assertEquals(emptyList(), calls)
    }
}
