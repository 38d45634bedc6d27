package org.auburnlever.acceptance

import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardOpenOption
import java.security.SecureRandom
import java.util.HexFormat
import java.util.concurrent.ConcurrentHashMap

/**
 * A real deployment on loopback: daemons, stand-in endpoints and workers as processes of their own.
 *
 * Everything is below [folder]. Single processes can be stopped, killed, suspended and started again by name;
 * [close] leaves no process behind. The ids of all started processes are written to `pids`.
 */
class Deployment(
    val folder: Path,
    val plan: DeploymentPlan = DeploymentPlan.smallest(),
    private val programs: Programs = Programs.find(),
) : AutoCloseable {
    /** What an operator does. */
    val operatorTools: OperatorTools = OperatorTools(programs, folder)

    /** The operators whose two signatures the first bundle needs. */
    val operators: List<OperatorKey> by lazy { listOf("awa", "moussa").map { operatorTools.generateKeyPair(it) } }

    private val processes = ConcurrentHashMap<String, ChildProcess>()
    private val settings by lazy { SettingsFiles(plan, folder, operators) }

    init {
        Files.createDirectories(folder.resolve("log"))
        val key = ByteArray(SHARED_KEY_BYTES).also { SecureRandom().nextBytes(it) }
        Files.writeString(folder.resolve(SettingsFiles.SHARED_KEY_FILE), HexFormat.of().formatHex(key))
    }

    /** Names of the processes that were started, except those that were stopped or killed since. */
    val running: Set<String> get() = processes.filterValues { it.alive }.keys

    /** The process called [name]. */
    fun process(name: String): ChildProcess =
        processes[name] ?: throw CheckFailedException("no process $name was started")

    /** Creates the data folder of the host [name] for a first start, and writes its settings. */
    fun format(name: String) {
        val host = plan.host(name)
        programs.run("auburnd", listOf("--settings", settings.write(host).toString(), "--format"))
    }

    /** Starts the daemon of the host [name]; its settings must exist. */
    fun startHost(name: String): ChildProcess =
        startProcess(name, "auburnd", listOf("--settings", folder.resolve("$name.json").toString()))

    /** Deletes the data of the host [name], as when its disk was replaced. */
    fun deleteData(name: String) {
        ensure(name !in running) { "$name still runs" }
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
        val port = await("control port of $name", START_LIMIT_MILLIS, { "(log ${child.log})" }) {
            ensure(child.alive) { "$name ended at its start; its log is ${child.log}" }
            if (Files.exists(portFile)) Files.readString(portFile).toInt() else null
        }
        return StandInControl(name, "$LOOPBACK_ADDRESS:$port")
    }

    /** Sends SIGTERM to the process [name] and returns its exit code. */
    fun stop(name: String, limitMillis: Long = STOP_LIMIT_MILLIS): Int {
        process(name).terminate()
        return process(name).awaitExit(limitMillis)
    }

    /** Ends every process that still runs, at once. */
    override fun close() {
        processes.values.filter { it.alive }.forEach { it.kill() }
    }

    private fun startProcess(name: String, program: String, arguments: List<String>): ChildProcess {
        ensure(processes[name]?.alive != true) { "$name runs already" }
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
