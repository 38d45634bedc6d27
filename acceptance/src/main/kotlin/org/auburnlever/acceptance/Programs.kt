package org.auburnlever.acceptance

import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** Runs the launchers in the folder `bin` of the repository at [root]. */
class Programs(private val root: Path) {
    /** Returns the path of the launcher [name]. */
    fun launcher(name: String): String = root.resolve("bin").resolve(name).toString()

    /**
     * Runs a launcher to its end and returns its standard output; throws [CheckFailedException] unless it exits with 0.
     */
    fun run(name: String, arguments: List<String>): String {
        val errors = Files.createTempFile("auburnlever", ".err")
        val process = ProcessBuilder(listOf(launcher(name)) + arguments).redirectError(errors.toFile()).start()
        val output = process.inputStream.readAllBytes().decodeToString()
        val ended = process.waitFor(RUN_LIMIT_SECONDS, TimeUnit.SECONDS)
        if (!ended) process.destroyForcibly()
        val errorText = Files.readString(errors).also { Files.delete(errors) }
        ensure(ended && process.exitValue() == 0) { "$name ${arguments.joinToString(" ")} failed: $output$errorText" }
        return output
    }

    companion object {
        private const val RUN_LIMIT_SECONDS = 60L

        /**
         * Finds the root of the repository: the current folder or the nearest one above it that has `bin/launch.sh`.
         */
        fun find(): Programs {
            val start = Path.of("").toAbsolutePath()
            val root = generateSequence(start) { it.parent }.firstOrNull { Files.exists(it.resolve("bin/launch.sh")) }
            return Programs(root ?: throw CheckFailedException("no folder above $start contains bin/launch.sh"))
        }
    }
}
