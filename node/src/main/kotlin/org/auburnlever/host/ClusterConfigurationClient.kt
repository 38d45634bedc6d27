package org.auburnlever.host

import com.github.michaelbull.result.Result
import org.auburnlever.codec.Codec
import org.auburnlever.configuration.Bundle
import org.auburnlever.configuration.ConfigurationCommand
import org.auburnlever.configuration.ConfigurationReply
import org.auburnlever.configuration.ConfigurationState
import org.auburnlever.peer.GroupName
import org.auburnlever.peer.PeerReply
import org.auburnlever.peer.PeerRequest
import org.auburnlever.settings.CONFIGURATION_GROUP

/** This host's replica of the configuration group; activates each bundle that the group accepts. */
internal class ConfigurationGroup(
    val runner: GroupRunner<ConfigurationState, ConfigurationReply>,
    activeBundle: ActiveBundle,
    private val clock: HostClock,
) {
    init {
        runner.afterBatch = { view -> view.state.accepted?.let { activeBundle.activate(it.bundle) } }
    }

    /** Proposes [command] to this replica and waits for the result. */
    suspend fun submit(command: ConfigurationCommand): Submission<ConfigurationReply> =
        runner.propose(Codec.encode(StampedConfigurationCommand(clock.nowMillis(), command))).await()
}

/** Submits commands to the leader of the configuration group, through the local replica or over peer links. */
internal class ClusterConfigurationClient(
    private val leaderClient: LeaderClient,
    private val local: ConfigurationGroup?,
    private val activeBundle: ActiveBundle,
) : ConfigurationClient {
    override val inForce: Bundle? get() = activeBundle.bundle

    override suspend fun submit(
        command: ConfigurationCommand,
        timeoutMillis: Long,
    ): Result<ConfigurationReply, SubmitError> {
        val askLocal = local?.let { group -> suspend { group.submit(command) } }
        val request = LeaderRequest(
            GroupName(CONFIGURATION_GROUP),
            askLocal,
            PeerRequest.SubmitConfiguration(command),
            // A conflict stands: the version that was accepted excludes any other attempt.
            isRefusal = { it is ConfigurationReply.Refused },
        ) { reply -> decode(reply) { (it as? PeerReply.Configuration)?.reply } }
        return leaderClient.ask(request, timeoutMillis)
    }
}
