package org.auburnlever.ctl

import kotlinx.cli.ArgType
import org.auburnlever.configuration.Bundle
import org.auburnlever.configuration.digestHex
import org.auburnlever.configuration.problems

/** Prints every problem of a bundle file. */
class BundleCheckCommand(selection: Selection) : Command("check", "List every problem of a bundle file", selection) {
    private val file by argument(ArgType.String, "file", "Bundle file: JSON with comments")

    override fun run(console: Console): ExitCode {
        val bundle = readJson(file, Bundle.serializer())
        return console.reportProblems(file, bundle) ?: reportValid(console, bundle)
    }

    private fun reportValid(console: Console, bundle: Bundle): ExitCode {
        console.out.println("$file: version ${bundle.version} is valid")
        return ExitCode.SUCCESS
    }
}

/** Prints the digest that operators sign. */
class BundleDigestCommand(selection: Selection) : Command("digest", "Print the digest of a bundle file", selection) {
    private val file by argument(ArgType.String, "file", "Bundle file: JSON with comments")

    override fun run(console: Console): ExitCode {
        console.out.println(readJson(file, Bundle.serializer()).digestHex())
        return ExitCode.SUCCESS
    }
}

/** Writes the problems of [bundle], one per line, and returns the exit code; returns null if it has none. */
internal fun Console.reportProblems(file: String, bundle: Bundle): ExitCode? {
    val problems = bundle.problems(inForce = null).ifEmpty { return null }
    problems.forEach { err.println("$file: $it") }
    return fail(ExitCode.REFUSED, "$file has ${problems.size} problems")
}
