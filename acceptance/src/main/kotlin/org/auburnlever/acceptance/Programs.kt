package org.auburnlever.acceptance

import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** Where the launchers of this repository are. */
class Programs(private val root: Path) {
    /** Path of the launcher [name] in `bin`. */
    fun launcher(name: String): String = root.resolve("bin").resolve(name).toString()

    /** Runs a launcher to its end and returns what it wrote to its standard output; fails on any other code than 0. */
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

        /** Looks for the root of the repository from the current folder upwards. */
        fun find(): Programs {
            val start = Path.of("").toAbsolutePath()
            val root = generateSequence(start) { it.parent }.firstOrNull { Files.exists(it.resolve("bin/launch.sh")) }
            return Programs(root ?: throw CheckFailedException("no folder above $start contains bin/launch.sh"))
        }
    }
}
