package org.auburnlever.acceptance

import org.junit.jupiter.api.Tag
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Runs the scripts of the review's cases, which start a deployment with stand-ins and exit with 0 if the rule held. */
class ReviewCasesTest {
    @Test
    fun `a report of an unknown service for the id of a live worker starts no task twice`() = runCase(1)

    @Test
    fun `a start that outlives its worker does not run a finished task again`() = runCase(2)

    @Test
    fun `a gang that can never start does not keep accepted jobs from an idle fleet`() = runCase(3)

    @Test
    @Tag("known-red")
    fun `a sound job is not shown as failed since its worker crashed repeatedly`() = runCase(4)

    @Test
    fun `long-running tasks that fail now and then are started again`() = runCase(5)

    @Test
    fun `a rack-sensitive gang starts on several racks if no rack has room for it`() = runCase(6)

    @Test
    fun `jobs whose starts were refused are counted as pending`() = runCase(7)

    @Test
    fun `a desired state that is no valid JSON is refused`() = runCase(8)

    @Test
    fun `jobs of a route that another name replaces stay known`() = runCase(9)

    private fun runCase(number: Int) {
        val log = Files.createTempFile(Files.createDirectories(Path.of("target/review")), "case-$number-", ".log")
        val exitCode = runScript("review/$number/run.sh", log)
        val record = root.resolve("review/$number/record.txt")
        val lines = if (Files.exists(record)) Files.readAllLines(record) else emptyList()
        val lastLines = lines.takeLast(SHOWN_LINES).map { it.take(SHOWN_CHARS) }
        assertEquals(0, exitCode, "case $number, see $record and $log:\n${lastLines.joinToString("\n")}")
    }

    private companion object {
        const val SCRIPT_LIMIT_SECONDS = 180L
        const val SHOWN_LINES = 20
        const val SHOWN_CHARS = 200
        val root: Path = generateSequence(Path.of("").toAbsolutePath()) { it.parent }
            .first { Files.exists(it.resolve("review/build.sh")) }

        init {
            val log = Files.createTempFile(Files.createDirectories(Path.of("target/review")), "build-", ".log")
            assertEquals(0, runScript("review/build.sh", log), Files.readString(log))
        }

        fun runScript(script: String, log: Path): Int {
            val builder = ProcessBuilder(root.resolve(script).toString())
                .redirectErrorStream(true)
                .redirectOutput(log.toFile())
            builder.environment() += mapOf("REVIEW_BUILD" to "platform/target", "TROUBLE" to "1")
            val process = builder.start()
            val ended = process.waitFor(SCRIPT_LIMIT_SECONDS, TimeUnit.SECONDS)
            if (!ended) process.destroy()
            assertTrue(ended, "$script did not end within $SCRIPT_LIMIT_SECONDS s")
            return process.exitValue()
        }
    }
}
