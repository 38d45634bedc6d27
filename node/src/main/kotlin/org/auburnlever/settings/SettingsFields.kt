package org.auburnlever.settings

import org.auburnlever.configuration.Operator
import org.auburnlever.model.DomainName
import org.auburnlever.model.HostName
import org.auburnlever.model.OperatorName
import org.auburnlever.model.RegionName
import org.auburnlever.peer.GroupName
import org.auburnlever.transport.Peer
import java.nio.file.Path

/** Reads all settings; relative paths are resolved against [folder]. */
internal fun SettingsReader.settings(folder: Path): Settings {
    val hosts = objects("hosts") { host() }
    val self = self(hosts)
    return Settings(
        self = self,
        httpAddress = string("httpAddress", self.address),
        httpPort = port("httpPort"),
        peerAddress = string("peerAddress", self.address),
        dataFolder = optionalString("dataFolder")?.let { folder.resolve(it) },
        sharedKeyFile = folder.resolve(string("sharedKeyFile")),
        hosts = hosts,
        groups = objects("groups") { group() },
        genesisOperators = objects("genesisOperators") { operator() },
        genesisThreshold = number("genesisThreshold", 1L..Int.MAX_VALUE).toInt(),
        log = log(),
        limits = limits(),
    )
}

/** Reads this host from the top-level fields; [checkSettings] compares it with its entry in [hosts]. */
private fun SettingsReader.self(hosts: List<Peer>): Peer {
    val name = HostName(string("host"))
    // An entry without an address is a problem of its own; a default taken from it would cause further problems.
    val listed = hosts.firstOrNull { it.host == name && it.address.isNotEmpty() }
    return Peer(
        host = name,
        region = RegionName(string("region")),
        failureDomain = DomainName(string("failureDomain")),
        address = listed?.address ?: optionalString("peerAddress") ?: LOOPBACK,
        port = port("peerPort", listed?.port),
    )
}

private fun SettingsReader.host() = Peer(
    host = HostName(string("host")),
    region = RegionName(string("region")),
    failureDomain = DomainName(string("failureDomain")),
    address = string("address"),
    port = port("peerPort"),
)

private fun SettingsReader.group() = GroupSettings(
    name = GroupName(string("group")),
    voters = strings("voters").map { HostName(it) },
    witnesses = strings("witnesses").map { HostName(it) },
)

private fun SettingsReader.operator() = Operator(OperatorName(string("name")), string("publicKeyHex"))

private fun SettingsReader.log() = LogSettings(
    format = choice("logFormat", LogFormat.entries, LogFormat.TEXT),
    level = choice("logLevel", LogLevel.entries, LogLevel.INFO),
)

private fun SettingsReader.limits(): ProcessLimits {
    val default = ProcessLimits()
    return ProcessLimits(
        shutdownLimitMillis = number("shutdownLimitMillis", 0L..MAX_TIMEOUT_MILLIS, default.shutdownLimitMillis),
        ioThreads = number("ioThreads", 1L..MAX_IO_THREADS, default.ioThreads.toLong()).toInt(),
        maxHttpConnections =
        number("maxHttpConnections", 1L..MAX_CONNECTIONS, default.maxHttpConnections.toLong()).toInt(),
        defaultRequestTimeoutMillis =
        number("defaultRequestTimeoutMillis", 1L..MAX_TIMEOUT_MILLIS, default.defaultRequestTimeoutMillis),
        maxRequestTimeoutMillis =
        number("maxRequestTimeoutMillis", 1L..MAX_TIMEOUT_MILLIS, default.maxRequestTimeoutMillis),
    )
}

private const val LOOPBACK = "127.0.0.1"
private const val MAX_IO_THREADS = 16L
private const val MAX_CONNECTIONS = 100_000L

/** One hour; jobs may run longer, but no HTTP request waits for a job to end. */
private const val MAX_TIMEOUT_MILLIS = 3_600_000L
