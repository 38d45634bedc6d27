package org.auburnlever.daemon

import com.github.michaelbull.result.Err
import kotlin.system.exitProcess

/** Runs `auburnd` and ends the process with one of the codes of [ExitCode]. */
fun main(args: Array<String>) {
    exitProcess(runAuburnd(args, actions, System.out, System.err).code)
}

private val actions = DaemonActions(
    format = { Err("this build contains no storage") },
    run = { _, _ -> Err("this build contains no host") },
)
