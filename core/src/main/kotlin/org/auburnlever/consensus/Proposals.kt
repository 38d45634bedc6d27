package org.auburnlever.consensus

import org.auburnlever.codec.Bytes
import org.auburnlever.codec.deflated

internal fun StepScope.onPropose(input: ReplicaInput.Propose) {
    val leader = leaderState
    when {
        leader == null -> reject(input.proposalId, RejectionReason.NOT_LEADER)
        leader.transfer != null -> reject(input.proposalId, RejectionReason.LEADERSHIP_LOST)
        input.command.size > state.settings.maxCommandBytes -> reject(input.proposalId, RejectionReason.TOO_LARGE)
        else -> {
            val payloads = payloadsOf(input.command, state.settings)
            payloads.dropLast(1).forEach { appendAsLeader(it) }
            accept(input.proposalId, payloads.last())
        }
    }
}

internal fun StepScope.accept(proposalId: Long, payload: EntryPayload) {
    val entry = appendAsLeader(payload)
    emit(ReplicaEffect.Accepted(proposalId, entry.index, entry.term))
}

/**
 * Returns the payloads that hold [command].
 *
 * Heartbeats wait behind what was sent before them, so a large command sent as it is would cost a leader its majority
 * on slow links. Large commands are mostly text with many repetitions.
 */
private fun payloadsOf(command: Bytes, settings: ReplicaSettings): List<EntryPayload> {
    if (command.size <= settings.commandPartBytes) return listOf(EntryPayload.Command(command))
    val deflated = command.deflated()
    val starts = 0 until deflated.size step settings.commandPartBytes
    return starts.mapIndexed { part, start ->
        val end = minOf(start + settings.commandPartBytes, deflated.size)
        EntryPayload.CommandPart(part, last = end == deflated.size, deflated.slice(start, end))
    }
}
