package org.auburnlever.configuration

/**
 * Applies a committed command; [nowMillis] is the leader's timestamp of the command.
 *
 * A command for a digest that was already accepted gets the original reply, whichever operator sends it.
 */
fun ConfigurationState.apply(command: ConfigurationCommand, nowMillis: Long): ConfigurationApplied =
    when (command) {
        is ConfigurationCommand.Propose -> propose(command, nowMillis)
        is ConfigurationCommand.SignOff -> signOff(command, nowMillis)
    }

private fun ConfigurationState.propose(command: ConfigurationCommand.Propose, nowMillis: Long): ConfigurationApplied {
    val digest = command.bundle.digestHex()
    val immediateReply = replyFromHistory(digest) ?: versionConflict(command.bundle.version)
    return when {
        immediateReply != null -> ConfigurationApplied(this, immediateReply)
        else -> proposalError(command, digest)?.let { refused(it) } ?: addProposal(command, digest, nowMillis)
    }
}

private fun ConfigurationState.signOff(command: ConfigurationCommand.SignOff, nowMillis: Long): ConfigurationApplied {
    val immediateReply = replyFromHistory(command.digestHex)
    val proposal = proposals.firstOrNull { it.digestHex == command.digestHex }
    val badSignature = signatureError(operators, command.operator, command.digestHex, command.signatureHex)
    return when {
        immediateReply != null -> ConfigurationApplied(this, immediateReply)
        badSignature != null -> refused(badSignature)
        proposal != null -> addSignature(proposal, command.operator, nowMillis)
        else -> refused(ConfigurationError.UnknownProposal("no open proposal has digest ${command.digestHex}"))
    }
}

/** Returns the reply for a digest that was accepted, or whose proposal lost against an accepted one; else null. */
private fun ConfigurationState.replyFromHistory(digestHex: String): ConfigurationReply? {
    val acceptedEntry = history.firstOrNull { it.digestHex == digestHex }
    val winner = history.firstOrNull { digestHex in it.lostDigests }
    return when {
        acceptedEntry != null -> ConfigurationReply.Accepted(acceptedEntry.version, acceptedEntry.digestHex)
        winner != null -> ConfigurationReply.Conflict(version, winner.digestHex)
        else -> null
    }
}

private fun ConfigurationState.versionConflict(proposed: Long): ConfigurationReply? {
    if (proposed == version + 1) return null
    return ConfigurationReply.Conflict(version, history.firstOrNull { it.version == proposed }?.digestHex)
}

private fun ConfigurationState.proposalError(
    command: ConfigurationCommand.Propose,
    digest: String,
): ConfigurationError? {
    val badSignature = signatureError(operators, command.operator, digest, command.signatureHex)
    if (badSignature != null || proposals.any { it.digestHex == digest }) return badSignature
    return command.bundle.problems(accepted?.bundle).ifEmpty { null }?.let { ConfigurationError.InvalidBundle.of(it) }
}

private fun ConfigurationState.refused(error: ConfigurationError) =
    ConfigurationApplied(this, ConfigurationReply.Refused(error))
