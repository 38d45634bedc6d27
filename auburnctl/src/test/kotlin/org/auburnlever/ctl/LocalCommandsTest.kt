package org.auburnlever.ctl

import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.attribute.PosixFilePermissions
import java.security.MessageDigest
import java.util.HexFormat
import kotlin.io.path.createTempDirectory
import kotlin.io.path.readText
import kotlin.io.path.writeText
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

class LocalCommandsTest {
    private val folder: Path = createTempDirectory("auburnctl")

    @AfterTest
    fun deleteFolder() {
        folder.toFile().deleteRecursively()
    }

    private fun file(name: String, text: String): String = folder.resolve(name).also { it.writeText(text) }.toString()

    /** Guards against the exit code 127 of the parser library, and against usage errors that look like refusals. */
    @Test
    fun `usage errors have code 2 and write nothing to standard output`() {
        val wrong = listOf(
            emptyList(),
            listOf("unknown"),
            listOf("bundle"),
            listOf("bundle", "check"),
            listOf("propose", "x", "--operator", "awa"),
            listOf("explain", "rack", "x"),
            listOf("status", "--timeout-millis", "0"),
            listOf("status", "--output", "xml"),
            listOf("bundle", "check", "/does/not/exist"),
        )
        for (args in wrong) {
            val result = auburnctl(*args.toTypedArray())
            assertEquals(ExitCode.USAGE to "", result.code to result.out, "$args")
        }
    }

    /** Guards against a help output that scripts take for an error. */
    @Test
    fun `help has code 0 and lists the subcommands`() {
        val result = auburnctl("--help")
        assertEquals(ExitCode.SUCCESS, result.code)
        assertContains(result.out, "sign-off")
    }

    /** Guards against private keys that other users can read, and against overwriting a key in use. */
    @Test
    fun `keygen writes a private key with mode 600 and never overwrites it`() {
        val path = folder.resolve("awa.key")
        val made = auburnctl("keygen", "$path")
        assertEquals(ExitCode.SUCCESS, made.code)
        assertEquals(made.out, Path.of("$path.pub").readText())
        assertEquals("rw-------", PosixFilePermissions.toString(Files.getPosixFilePermissions(path)))
        val before = path.readText()
        assertEquals(ExitCode.REFUSED, auburnctl("keygen", "$path").code)
        assertEquals(before, path.readText())
    }

    /**
     * Guards against a digest that does not belong to the printed token, with which no server would accept the token.
     */
    @Test
    fun `token prints a new token and its digest`() {
        val lines = auburnctl("token").out.lines()
        val token = lines[0].removePrefix("token: ")
        val digest = MessageDigest.getInstance("SHA-256").digest(token.encodeToByteArray())
        assertEquals("digest: ${HexFormat.of().formatHex(digest)}", lines[1])
        assertEquals(64, token.length)
    }

    /** Guards against a check that stops at the first problem. */
    @Test
    fun `bundle check lists all problems`() {
        val bad = VALID.replace("\"signOffThreshold\": 1", "\"signOffThreshold\": 7")
            .replace("\"platformTokenDigests\": []", "\"platformTokenDigests\": [\"x\"]")
        val path = file("bad.json", bad)
        val result = auburnctl("bundle", "check", path)
        assertEquals(ExitCode.REFUSED, result.code)
        assertContains(result.err, "$path: operators: 0 entries is not permitted")
        assertContains(result.err, "$path: signOffThreshold: 7 is not permitted; permitted: 1 to 1")
        assertContains(result.err, "$path: platformTokenDigests[0]: (hidden, 1 characters) is not permitted")
        assertContains(result.err, "$path has 3 problems")
    }

    /** Guards against silently ignored misspelt fields. */
    @Test
    fun `a bundle with an unknown field is a usage error that names the field`() {
        val result = auburnctl("bundle", "digest", file("typo.json", VALID.replace("accounts", "acounts")))
        assertEquals(ExitCode.USAGE, result.code)
        assertContains(result.err, "acounts")
    }

    /** Guards against different digests for operators whose files have the same content in another layout. */
    @Test
    fun `bundle digest does not depend on comments`() {
        val plain = auburnctl("bundle", "digest", file("a.json", VALID))
        val commented = auburnctl("bundle", "digest", file("b.json", "// a comment\n$VALID"))
        assertEquals(ExitCode.SUCCESS, plain.code)
        assertEquals(plain.out, commented.out)
    }

    private companion object {
        val VALID = """
            {
              "version": 1,
              "failureDomains": [{"name": "thies-a", "region": "thies"}],
              "claimDomains": ["thies-a"],
              "operators": [],
              "signOffThreshold": 1,
              "services": [],
              "accounts": [ ],
              "platformTokenDigests": [],
            }
        """.trimIndent()
    }
}
