package org.auburnlever.acceptance

import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardOpenOption
import java.security.SecureRandom
import java.util.HexFormat
import java.util.concurrent.ConcurrentHashMap

/**
 * Runs a deployment on loopback, with daemons, stand-in endpoints and stand-in workers as separate processes.
 *
 * All files are below [folder]. Each process can be stopped, killed, suspended and restarted by its name; [close] kills
 * those that still run. The process ids are also written to the file `pids`, from which `bin/demo` and `bin/capacity`
 * kill what is left.
 */
class Deployment(
    val folder: Path,
    val plan: DeploymentPlan = DeploymentPlan.smallest(),
    private val programs: Programs = Programs.find(),
) : AutoCloseable {
    /** The operator commands of `auburnctl`. */
    val operatorTools: OperatorTools = OperatorTools(programs, folder)

    /** The two operators who must both sign the first bundle. */
    val operators: List<OperatorKey> by lazy { listOf("awa", "moussa").map { operatorTools.generateKeyPair(it) } }

    private val processes = ConcurrentHashMap<String, ChildProcess>()
    private val settings by lazy { SettingsFiles(plan, folder, operators) }

    init {
        Files.createDirectories(folder.resolve("log"))
        val key = ByteArray(SHARED_KEY_BYTES).also { SecureRandom().nextBytes(it) }
        Files.writeString(folder.resolve(SettingsFiles.SHARED_KEY_FILE), HexFormat.of().formatHex(key))
    }

    /** Names of the started processes that still run. */
    val running: Set<String> get() = processes.filterValues { it.alive }.keys

    /** Returns the process [name], which must have been started. */
    fun process(name: String): ChildProcess =
        processes[name] ?: throw CheckFailedException("process $name was never started")

    /** Creates the data folder of the host [name] for a first start, and writes its settings. */
    fun format(name: String) {
        val host = plan.host(name)
        programs.run("auburnd", listOf("--settings", settings.write(host).toString(), "--format"))
    }

    /** Starts the daemon of the host [name]; its settings must exist. */
    fun startHost(name: String): ChildProcess =
        startProcess(name, "auburnd", listOf("--settings", folder.resolve("$name.json").toString()))

    /** Deletes the data folder of the host [name], as if its disk was replaced; the host must not run. */
    fun deleteData(name: String) {
        ensure(name !in running) { "the data of $name can't be deleted while it runs" }
        settings.dataFolder(plan.host(name)).toFile().deleteRecursively()
    }

    /** Starts a process with stand-in endpoints or workers in [failureDomain]; see `bin/standin --help`. */
    fun startStandIn(
        name: String,
        kind: String,
        failureDomain: String,
        arguments: List<String>,
        entryAddresses: List<String> = plan.hostsOf(failureDomain).map { it.address },
    ): StandInControl {
        val portFile = folder.resolve("$name.port")
        Files.deleteIfExists(portFile)
        val entry = entryAddresses.joinToString(",")
        val common = listOf(kind, "--entry", entry, "--domain", failureDomain, "--port-file", portFile.toString())
        val child = startProcess(name, "standin", common + arguments)
        val port = await("the control port of $name", START_LIMIT_MILLIS, { "(log ${child.log})" }) {
            ensure(child.alive) { "$name ended before it wrote its control port; see its log ${child.log}" }
            if (Files.exists(portFile)) Files.readString(portFile).toInt() else null
        }
        return StandInControl(name, "$LOOPBACK_ADDRESS:$port")
    }

    /** Sends SIGTERM to the process [name] and returns its exit code. */
    fun stop(name: String, limitMillis: Long = STOP_LIMIT_MILLIS): Int {
        process(name).terminate()
        return process(name).awaitExit(limitMillis)
    }

    /** Kills every process that still runs. */
    override fun close() {
        processes.values.filter { it.alive }.forEach { it.kill() }
    }

    private fun startProcess(name: String, program: String, arguments: List<String>): ChildProcess {
        ensure(processes[name]?.alive != true) { "$name is already running" }
        val log = folder.resolve("log").resolve("$name.log")
        val child = ChildProcess.start(name, listOf(programs.launcher(program)) + arguments, log)
        processes[name] = child
        Files.writeString(
            folder.resolve("pids"),
            "${child.pid}\n",
            StandardOpenOption.CREATE,
            StandardOpenOption.APPEND,
        )
        return child
    }

    private companion object {
        const val SHARED_KEY_BYTES = 32
        const val START_LIMIT_MILLIS = 30_000L
        const val STOP_LIMIT_MILLIS = 40_000L
    }
}
