package org.auburnlever.consensus

/** Handles [input] at [nowMillis], a time of the replica's own clock that never goes backwards. */
fun ReplicaState.step(input: ReplicaInput, nowMillis: Long): ReplicaStep = stepAll(listOf(input), nowMillis)

/**
 * Handles [inputs] in order, as one batch.
 *
 * All proposals of the batch are sent in the same messages and all its reads are confirmed in one round, so a batch
 * costs fewer messages than single steps.
 */
fun ReplicaState.stepAll(inputs: List<ReplicaInput>, nowMillis: Long): ReplicaStep {
    val scope = StepScope(this, nowMillis)
    inputs.forEach(scope::handle)
    scope.flushLeader()
    return scope.finish(this)
}

private fun StepScope.handle(input: ReplicaInput) = when (input) {
    ReplicaInput.Tick -> onTick()
    is ReplicaInput.Received -> onReceived(input)
    is ReplicaInput.Propose -> onPropose(input)
    is ReplicaInput.Read -> onRead(input)
    is ReplicaInput.ChangeMembership -> onChangeMembership(input)
    is ReplicaInput.SnapshotTaken -> onSnapshotTaken(input)
    is ReplicaInput.TransferLeadership -> startTransfer(input.to)
}

private fun StepScope.onTick() = when {
    leaderState != null -> onLeaderTick()
    nowMillis >= state.timer.deadlineMillis -> onElectionTimeout()
    else -> Unit
}

private fun StepScope.onReceived(input: ReplicaInput.Received) {
    if (concernsThisReplica(input)) onMessage(input.from, input.message)
}

// An older incarnation is ignored only once its replacement is committed; until then it may still be the leader.
private fun StepScope.concernsThisReplica(input: ReplicaInput.Received): Boolean =
    input.from.host != state.id.host &&
        (input.to == null || input.to == state.id) &&
        !state.committedMembership.isReplaced(input.from)

private fun StepScope.onMessage(from: ReplicaId, message: ReplicaMessage) = when (message) {
    is ReplicaMessage.PreVoteRequest -> onPreVoteRequest(from, message)
    is ReplicaMessage.PreVoteAnswer -> onPreVoteAnswer(from, message)
    is ReplicaMessage.VoteRequest -> onVoteRequest(from, message)
    is ReplicaMessage.VoteAnswer -> onVoteAnswer(from, message)
    is ReplicaMessage.Append -> onAppend(from, message)
    is ReplicaMessage.AppendAccepted -> onAppendAccepted(from, message)
    is ReplicaMessage.AppendRejected -> onAppendRejected(from, message)
    is ReplicaMessage.SnapshotChunk -> onSnapshotChunk(from, message)
    is ReplicaMessage.SnapshotProgress -> onSnapshotProgress(from, message)
    is ReplicaMessage.TermOutdated -> observeTerm(message.term)
    is ReplicaMessage.TimeoutNow -> onTimeoutNow(message)
}
