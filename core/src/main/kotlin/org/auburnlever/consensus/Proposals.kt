package org.auburnlever.consensus

internal fun StepScope.onPropose(input: ReplicaInput.Propose) {
    val leader = leaderState
    when {
        leader == null -> reject(input.proposalId, RejectionReason.NOT_LEADER)
        leader.transfer != null -> reject(input.proposalId, RejectionReason.LEADERSHIP_LOST)
        input.command.size > state.settings.maxBatchBytes -> reject(input.proposalId, RejectionReason.TOO_LARGE)
        else -> accept(input.proposalId, EntryPayload.Command(input.command))
    }
}

internal fun StepScope.accept(proposalId: Long, payload: EntryPayload) {
    val entry = appendAsLeader(payload)
    emit(ReplicaEffect.Accepted(proposalId, entry.index, entry.term))
}
