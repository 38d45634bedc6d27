package org.auburnlever.settings

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import org.auburnlever.model.HostName
import java.nio.file.Path
import kotlin.io.path.createTempDirectory
import kotlin.io.path.readText
import kotlin.io.path.writeText
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class SettingsFileTest {
    private val folder = Path.of("/etc/auburnlever")
    private val sample = Path.of("../conf/auburnd.sample.json")

    private fun parse(text: String): Settings = parseSettings(text, folder).getOrElse { error(it.message) }

    private fun problems(text: String): String = parseSettings(text, folder).getError()?.message.orEmpty()

    private fun resource(name: String): String = checkNotNull(javaClass.getResource("/settings/$name")).readText()

    /** Guards against a sample file that the program no longer accepts. */
    @Test
    fun `the sample file is valid and its optional values are the defaults`() {
        val settings = loadSettings(sample).getOrElse { error(it.message) }
        assertEquals(HostName("thies-a-1"), settings.self.host)
        assertEquals(ProcessLimits(), settings.limits)
        assertEquals(LogSettings(LogFormat.TEXT, LogLevel.INFO), settings.log)
        assertEquals(sample.toAbsolutePath().parent.resolve("data"), settings.dataFolder)
        assertEquals(4, settings.others.size)
    }

    /** Guards against defaults that are not applied when the optional fields are left out. */
    @Test
    fun `a file without optional fields gets the same limits and log`() {
        val optional = listOf("log", "shutdownLimit", "ioThreads", "maxHttp", "defaultRequest", "maxRequest")
        val short = sample.readText().lines().filterNot { line -> optional.any { line.trim().startsWith("\"$it") } }
        val settings = parse(short.joinToString("\n"))
        assertEquals(ProcessLimits(), settings.limits)
        assertEquals("127.0.0.1" to 7101, settings.peerAddress to settings.self.port)
        assertEquals(Path.of("/etc/auburnlever/shared.key"), settings.sharedKeyFile)
    }

    /** Guards against checks that stop at the first problem, and messages without field name, value or range. */
    @Test
    fun `every problem of a file is listed at once`() =
        assertEquals(resource("bad-values.expected.txt"), problems(resource("bad-values.json")) + "\n")

    /** Guards against a reader that stops at the first missing field, and messages without the full path. */
    @Test
    fun `missing and wrongly typed fields are listed with their path`() =
        assertEquals(resource("bad-types.expected.txt"), problems(resource("bad-types.json")) + "\n")

    /** Guards against a host that runs with another host's identity. */
    @Test
    fun `this host must be listed and agree with its entry`() {
        val text = sample.readText()
        assertEquals(
            "host: \"nowhere\" is not permitted; permitted: a host of the list \"hosts\": " +
                "thies-a-1, thies-a-2, dakar-a-1, dakar-a-2, louis-a-1",
            problems(text.replaceFirst("\"thies-a-1\"", "\"nowhere\"").withPeerPort()),
        )
        assertEquals(
            "region: \"other\" is not permitted; permitted: \"thies\", as in this host's entry of \"hosts\"\n" +
                "peerAddress: \"10.0.0.9\" is not permitted; " +
                "permitted: \"127.0.0.1\", as in this host's entry of \"hosts\"",
            problems(
                text.replaceFirst("\"thies\"", "\"other\"")
                    .replace("// \"peerAddress\": \"127.0.0.1\"", "\"peerAddress\": \"10.0.0.9\""),
            ),
        )
    }

    /** Guards against a host that keeps replicas in memory only because it has no data folder. */
    @Test
    fun `a voter or witness needs a data folder and other hosts do not`() {
        val text = sample.readText().replace("\"dataFolder\": \"data\",", "")
        assertEquals(
            "dataFolder: a missing field is not permitted; permitted: a folder, because this host has replicas of " +
                "configuration, ledger/thies-a, ledger/dakar-a",
            problems(text),
        )
        val names = "\"host\": \"thies-a-1\",\n  \"region\": \"thies\",\n  \"failureDomain\": \"thies-a\""
        val diskless = "\"host\": \"louis-a-1\", \"region\": \"louis\", \"failureDomain\": \"louis-a\""
        assertEquals(
            "dataFolder: a missing field is not permitted; permitted: a folder, because this host has replicas of " +
                "configuration",
            problems(text.replace(names, diskless)),
        )
        assertEquals("", problems(text.replace(names, diskless).replace(", \"louis-a-1\"]", "]")))
    }

    /** Guards against an exception instead of an error value. */
    @Test
    fun `text that is not a JSON object and a missing file are errors`() {
        assertIs<SettingsError.Malformed>(parseSettings("{", folder).getError())
        assertIs<SettingsError.Malformed>(parseSettings("[]", folder).getError())
        val missing = assertIs<SettingsError.Unreadable>(loadSettings(Path.of("/does/not/exist")).getError())
        assertEquals("can't read /does/not/exist: NoSuchFileException: /does/not/exist", missing.message)
    }

    /** Guards against accepting a short key, and against printing a key. */
    @Test
    fun `a shared key needs at least 32 bytes and does not appear in messages`() {
        val file = createTempDirectory("settings").resolve("shared.key")
        file.writeText(" ${"k".repeat(32)}\n")
        assertEquals("k".repeat(32), loadSharedKey(file).get()?.decodeToString())
        file.writeText("too-short")
        val message = loadSharedKey(file).getError()?.message.orEmpty()
        assertEquals("the secret in $file can't be used: it has 9 bytes, permitted are 32 to 1024", message)
        assertTrue(file.parent.toFile().deleteRecursively())
    }

    private fun String.withPeerPort() = replace("// \"peerPort\": 7101", "\"peerPort\": 7101")
}
