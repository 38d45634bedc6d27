package org.auburnlever.host

import kotlinx.serialization.Serializable
import org.auburnlever.codec.Bytes
import org.auburnlever.codec.Codec
import org.auburnlever.configuration.ConfigurationCommand
import org.auburnlever.configuration.ConfigurationReply
import org.auburnlever.configuration.ConfigurationState
import org.auburnlever.configuration.Operator
import org.auburnlever.configuration.apply

/** A configuration command with the time at which it was proposed, so that all replicas apply it with the same time. */
@Serializable
internal data class StampedConfigurationCommand(val nowMillis: Long, val command: ConfigurationCommand)

/** Applies the log of the configuration group to a [ConfigurationState]. */
internal class ConfigurationStateMachine(
    genesisOperators: List<Operator>,
    genesisThreshold: Int,
) : StateMachine<ConfigurationState, ConfigurationReply> {
    override val initial = ConfigurationState(genesisOperators, genesisThreshold)

    override fun apply(
        state: ConfigurationState,
        index: Long,
        command: Bytes,
    ): Applied<ConfigurationState, ConfigurationReply> {
        val stamped = Codec.decode<StampedConfigurationCommand>(command)
        val applied = state.apply(stamped.command, stamped.nowMillis)
        return Applied(applied.state, applied.reply)
    }

    override fun encode(state: ConfigurationState): Bytes = Codec.encode(state)

    override fun decode(bytes: Bytes): ConfigurationState = Codec.decode(bytes)
}
