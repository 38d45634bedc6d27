package org.auburnlever.settings

import org.auburnlever.configuration.Operator
import org.auburnlever.model.HostName
import org.auburnlever.peer.GroupName
import org.auburnlever.transport.Peer
import java.nio.file.Path

/**
 * Settings of one `auburnd` process, read from its settings file; they don't change while the process runs.
 *
 * [hosts] lists all hosts of the deployment including this one, which is [self]. [httpAddress] and [peerAddress] are
 * the IP addresses that the process listens on.
 */
data class Settings(
    val self: Peer,
    val httpAddress: String,
    val httpPort: Int,
    val peerAddress: String,
    val dataFolder: Path?,
    val sharedKeyFile: Path,
    val hosts: List<Peer>,
    val groups: List<GroupSettings>,
    val genesisOperators: List<Operator>,
    val genesisThreshold: Int,
    val log: LogSettings,
    val limits: ProcessLimits,
) {
    /** All hosts but this one. */
    val others: List<Peer> get() = hosts.filter { it.host != self.host }
}

/** Initial replicas of a consensus group; later changes of its membership go through the group's log. */
data class GroupSettings(val name: GroupName, val voters: List<HostName>, val witnesses: List<HostName>)

/** Format and level of the log. */
data class LogSettings(val format: LogFormat, val level: LogLevel)

/** Format of log lines. */
enum class LogFormat {
    /** One line of text for each event. */
    TEXT,

    /** One JSON object per line. */
    JSON,
}

/** Lowest severity that is logged. */
enum class LogLevel {
    DEBUG,
    INFO,
    WARN,
    ERROR,
}

/**
 * Resource limits and timeouts of one process.
 *
 * [shutdownLimitMillis] bounds how long a graceful shutdown waits for requests in progress. [ioThreads] is the number
 * of event loops for HTTP. A request without a timeout gets [defaultRequestTimeoutMillis]; one with a timeout above
 * [maxRequestTimeoutMillis] is refused.
 */
data class ProcessLimits(
    val shutdownLimitMillis: Long = 30_000,
    val ioThreads: Int = 2,
    val maxHttpConnections: Int = 2_000,
    val defaultRequestTimeoutMillis: Long = 30_000,
    val maxRequestTimeoutMillis: Long = 600_000,
)
