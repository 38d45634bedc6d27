package org.auburnlever.host

import com.github.michaelbull.result.Result
import org.auburnlever.configuration.Bundle
import org.auburnlever.configuration.ConfigurationCommand
import org.auburnlever.configuration.ConfigurationReply

/** Submits commands to the leader of the configuration group and provides the bundle in force on this host. */
interface ConfigurationClient {
    /** The bundle in force on this host; null before the first one. Read on each request, so it must not take locks. */
    val inForce: Bundle?

    /** Submits [command] and returns the reply once it is durable on a majority. */
    suspend fun submit(
        command: ConfigurationCommand,
        timeoutMillis: Long,
    ): Result<ConfigurationReply, SubmitError>
}
