package org.auburnlever.configuration

import kotlinx.serialization.Serializable
import org.auburnlever.model.OperatorName

/**
 * Replicated state of the group `configuration`.
 *
 * [genesisOperators] and [genesisThreshold] come from the settings and apply to the first bundle only; they must be the
 * same on every replica. [history] holds the digests of the last accepted bundles, oldest first.
 */
@Serializable
data class ConfigurationState(
    val genesisOperators: List<Operator>,
    val genesisThreshold: Int,
    val accepted: AcceptedBundle? = null,
    val history: List<AcceptedDigest> = emptyList(),
    val proposals: List<OpenProposal> = emptyList(),
) {
    /** Version of the bundle in force, 0 before the first one. */
    val version: Long get() = accepted?.bundle?.version ?: 0

    /** Operators who may propose and sign the next bundle. */
    val operators: List<Operator> get() = accepted?.bundle?.operators ?: genesisOperators

    /** Number of distinct operators who must sign the next bundle. */
    val threshold: Int get() = accepted?.bundle?.signOffThreshold ?: genesisThreshold

    /** Limits that keep the state bounded. */
    companion object {
        /** Number of accepted digests that are kept, so that a resend gets the original reply. */
        const val MAX_HISTORY: Int = 128

        /** Number of proposals that may be open at the same time; each holds a whole bundle in memory. */
        const val MAX_PROPOSALS: Int = 16
    }
}

/** The bundle in force and its signers; [acceptedMillis] is the leader's timestamp of its acceptance. */
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

/** A valid bundle that needs more signatures; the first of [signers] proposed it. */
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

/** A change of [ConfigurationState]; events are logged, and [Accepted] puts a bundle in force. */
sealed interface ConfigurationEvent {
    /** A proposal was opened by [operator]. */
    data class Opened(val version: Long, val digestHex: String, val operator: OperatorName) : ConfigurationEvent

    /** A further operator signed an open proposal. */
    data class Signed(val version: Long, val digestHex: String, val operator: OperatorName) : ConfigurationEvent

    /** A proposal was removed because there were too many open ones or another one was accepted. */
    data class Dropped(val version: Long, val digestHex: String) : ConfigurationEvent

    /** A bundle was accepted and is to be put in force. */
    data class Accepted(val accepted: AcceptedBundle) : ConfigurationEvent
}
