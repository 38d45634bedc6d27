package org.auburnlever.configuration

import org.auburnlever.configuration.ConfigurationState.Companion.MAX_HISTORY
import org.auburnlever.configuration.ConfigurationState.Companion.MAX_PROPOSALS
import org.auburnlever.model.OperatorName

/** Opens the proposal of [command], or adds its signature if a proposal with the same [digest] is open. */
internal fun ConfigurationState.addProposal(
    command: ConfigurationCommand.Propose,
    digest: String,
    nowMillis: Long,
): ConfigurationApplied {
    val existing = proposals.firstOrNull { it.digestHex == digest }
    if (existing != null) return addSignature(existing, command.operator, nowMillis)
    val evicted = if (proposals.size < MAX_PROPOSALS) null else proposalToEvict()
    val opened = OpenProposal(command.bundle, digest, listOf(command.operator), nowMillis)
    val events = listOfNotNull(
        evicted?.let { ConfigurationEvent.Dropped(it.bundle.version, it.digestHex) },
        ConfigurationEvent.Opened(opened.bundle.version, digest, command.operator),
    )
    val next = copy(proposals = proposals.filter { it !== evicted } + opened)
    return next.acceptAtThreshold(opened, nowMillis, events)
}

/**
 * Returns the oldest proposal of the operator with the most open ones, so that one operator can't evict the proposals
 * of others.
 */
private fun ConfigurationState.proposalToEvict(): OpenProposal {
    val counts = proposals.groupingBy { it.signers.first() }.eachCount()
    val most = counts.values.max()
    return proposals.first { counts[it.signers.first()] == most }
}

/** Adds the signature of [operator], verified by the caller; accepts the bundle when it reaches the threshold. */
internal fun ConfigurationState.addSignature(
    proposal: OpenProposal,
    operator: OperatorName,
    nowMillis: Long,
): ConfigurationApplied {
    if (operator in proposal.signers) return acceptAtThreshold(proposal, nowMillis, emptyList())
    val signed = proposal.copy(signers = proposal.signers + operator)
    val next = copy(proposals = proposals.map { if (it.digestHex == signed.digestHex) signed else it })
    val event = ConfigurationEvent.Signed(signed.bundle.version, signed.digestHex, operator)
    return next.acceptAtThreshold(signed, nowMillis, listOf(event))
}

private fun ConfigurationState.acceptAtThreshold(
    proposal: OpenProposal,
    nowMillis: Long,
    events: List<ConfigurationEvent>,
): ConfigurationApplied {
    val missing = threshold - proposal.signers.size
    if (missing <= 0) return accept(proposal, nowMillis, events)
    val reply = ConfigurationReply.Pending(proposal.bundle.version, proposal.digestHex, missing)
    return ConfigurationApplied(this, reply, events)
}

private fun ConfigurationState.accept(
    winner: OpenProposal,
    nowMillis: Long,
    events: List<ConfigurationEvent>,
): ConfigurationApplied {
    val losers = proposals.filter { it.digestHex != winner.digestHex }
    val accepted = AcceptedBundle(winner.bundle, winner.digestHex, winner.signers, nowMillis)
    val entry = AcceptedDigest(winner.bundle.version, winner.digestHex, losers.map { it.digestHex })
    val next = copy(accepted = accepted, history = (history + entry).takeLast(MAX_HISTORY), proposals = emptyList())
    val dropped = losers.map { ConfigurationEvent.Dropped(it.bundle.version, it.digestHex) }
    val reply = ConfigurationReply.Accepted(winner.bundle.version, winner.digestHex)
    return ConfigurationApplied(next, reply, events + dropped + ConfigurationEvent.Accepted(accepted))
}
