package org.auburnlever.configuration

import kotlinx.serialization.Serializable
import org.auburnlever.world.OperatorName

/**
 * Replicated state of the group `configuration`.
 *
 * [genesisOperators] and [genesisThreshold] come from the settings and decide over the first bundle only; they must be
 * the same on every replica. [history] holds the digests of the last accepted bundles, oldest first.
 */
@Serializable
data class ConfigurationState(
    val genesisOperators: List<Operator>,
    val genesisThreshold: Int,
    val accepted: AcceptedBundle? = null,
    val history: List<AcceptedDigest> = emptyList(),
    val proposals: List<OpenProposal> = emptyList(),
) {
    /** Version in force, 0 before the first bundle. */
    val version: Long get() = accepted?.bundle?.version ?: 0

    /** Operators who may sign now. */
    val operators: List<Operator> get() = accepted?.bundle?.operators ?: genesisOperators

    /** Number of distinct operators who must sign the next bundle. */
    val threshold: Int get() = accepted?.bundle?.signOffThreshold ?: genesisThreshold

    /** Bounds of the state. */
    companion object {
        /** Accepted digests that are remembered, so that a resend gets the first outcome. */
        const val MAX_HISTORY: Int = 128

        /** Proposals that wait for signatures at the same time; each holds a whole bundle in memory. */
        const val MAX_PROPOSALS: Int = 16
    }
}

/** The bundle in force and who signed it; [acceptedMillis] is the leader's time. */
@Serializable
data class AcceptedBundle(
    val bundle: Bundle,
    val digestHex: String,
    val signers: List<OperatorName>,
    val acceptedMillis: Long,
)

/** An accepted version and the digests of the proposals that lost against it. */
@Serializable
data class AcceptedDigest(val version: Long, val digestHex: String, val lostDigests: List<String> = emptyList())

/** A valid bundle that waits for signatures; the first of [signers] proposed it. */
@Serializable
data class OpenProposal(
    val bundle: Bundle,
    val digestHex: String,
    val signers: List<OperatorName>,
    val openedMillis: Long,
)

/** Result of applying a command. */
data class ConfigurationApplied(
    val state: ConfigurationState,
    val reply: ConfigurationReply,
    val events: List<ConfigurationEvent> = emptyList(),
)

/** A change of [ConfigurationState], for logs and for putting a bundle in force. */
sealed interface ConfigurationEvent {
    /** A proposal was opened by [operator]. */
    data class Opened(val version: Long, val digestHex: String, val operator: OperatorName) : ConfigurationEvent

    /** A further operator signed an open proposal. */
    data class Signed(val version: Long, val digestHex: String, val operator: OperatorName) : ConfigurationEvent

    /** A proposal was dropped because there were too many, or because another one was accepted. */
    data class Dropped(val version: Long, val digestHex: String) : ConfigurationEvent

    /** A bundle was accepted and is to be put in force. */
    data class Accepted(val accepted: AcceptedBundle) : ConfigurationEvent
}
