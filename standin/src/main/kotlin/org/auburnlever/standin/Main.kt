package org.auburnlever.standin

import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardCopyOption

/** Runs stand-in endpoints, stand-in workers or the load tool: `standin endpoints|workers|load ...`. */
@OptIn(ExperimentalCli::class)
fun main(args: Array<String>) {
    val parser = ArgParser("standin", strictSubcommandOptionsOrder = true)
    parser.subcommands(EndpointsCommand(), WorkersCommand(), LoadCommand())
    parser.parse(if (args.isEmpty()) arrayOf("--help") else args)
}

/** Splits a comma-separated list and drops blanks and empty items. */
internal fun splitByComma(text: String): List<String> = text.split(',').map { it.trim() }.filter { it.isNotEmpty() }

/** Writes the control port to [file] atomically, so that a reader never sees a part of the number. */
internal fun writePortFile(file: String, port: Int) {
    val target = Path.of(file)
    val partial = target.resolveSibling("${target.fileName}.partial")
    Files.writeString(partial, port.toString())
    Files.move(partial, target, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING)
}

/** Blocks until SIGTERM or SIGINT, then calls [shutDown] and ends the process with exit code 0. */
internal fun runUntilSignal(shutDown: () -> Unit) {
    val onSignal = {
        shutDown()
        // Without halt, the JVM would exit with the code of the signal, as if it had been interrupted.
        Runtime.getRuntime().halt(0)
    }
    Runtime.getRuntime().addShutdownHook(Thread(onSignal, "shutdown"))
    Thread.currentThread().join()
}
