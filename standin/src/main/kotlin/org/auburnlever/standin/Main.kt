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

/** Splits a list of addresses separated by commas. */
internal fun splitByComma(text: String): List<String> = text.split(',').map { it.trim() }.filter { it.isNotEmpty() }

/** Writes the control port to [file] in one step, so that a reader never sees half a number. */
internal fun writePortFile(file: String, port: Int) {
    val target = Path.of(file)
    val partial = target.resolveSibling("${target.fileName}.partial")
    Files.writeString(partial, port.toString())
    Files.move(partial, target, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING)
}

/** Calls [shutDown] on SIGTERM and SIGINT, and ends the process with code 0 afterwards. */
internal fun runUntilSignal(shutDown: () -> Unit) {
    val onSignal = {
        shutDown()
        // Without halt the process would end with the signal's exit code, as if it had been interrupted.
        Runtime.getRuntime().halt(0)
    }
    Runtime.getRuntime().addShutdownHook(Thread(onSignal, "shutdown"))
    Thread.currentThread().join()
}
