package org.auburnlever.consensus

/** Sends what the mode and the limits for [peer] allow; returns whether anything was sent. */
internal fun StepScope.replicate(peer: ReplicaId): Boolean = when (state.peers[peer]?.mode) {
    ReplicationMode.PROBE -> probe(peer)
    ReplicationMode.REPLICATE -> sendEntries(peer)
    ReplicationMode.SNAPSHOT -> sendChunk(peer)
    null -> false
}

private fun StepScope.probe(peer: ReplicaId): Boolean {
    val progress = state.peers.getValue(peer)
    if (progress.nextIndex <= state.log.baseIndex) return startSnapshot(peer)
    if (!progress.awaitingAnswer) sendEmpty(peer)
    updatePeer(peer) { it.copy(awaitingAnswer = true) }
    return !progress.awaitingAnswer
}

private fun StepScope.sendEntries(peer: ReplicaId): Boolean {
    val progress = state.peers.getValue(peer)
    if (progress.nextIndex <= state.log.baseIndex) return startSnapshot(peer)
    var remainingMessages = state.settings.maxInFlightMessages - progress.inFlight.size
    var sent = false
    while (remainingMessages > 0 && sendBatch(peer)) {
        remainingMessages--
        sent = true
    }
    return sent
}

private fun StepScope.sendBatch(peer: ReplicaId): Boolean {
    val next = state.peers.getValue(peer).nextIndex
    if (next > state.lastIndex) return false
    val settings = state.settings
    val available = minOf(state.lastIndex, next + settings.maxBatchEntries - 1)
    val candidates = state.log.range(next, available)
    val entries = candidates.take(candidates.asSequence().countWithin(settings.maxBatchEntries, settings.maxBatchBytes))
    send(peer, state.appendFrom(next, entries, roundSent()))
    val last = entries.last().index
    updatePeer(peer) { it.copy(nextIndex = last + 1, inFlight = it.inFlight.add(last)) }
    return true
}

/** Sends a message without entries: a heartbeat whose answer also shows whether earlier messages arrived. */
internal fun StepScope.sendEmpty(peer: ReplicaId) {
    val next = state.peers[peer]?.nextIndex ?: return
    if (next > state.log.baseIndex) send(peer, state.appendFrom(next, emptyList(), roundSent()))
}

private fun ReplicaState.appendFrom(next: Long, entries: List<LogEntry>, round: Long) = ReplicaMessage.Append(
    term = term,
    previousIndex = next - 1,
    previousTerm = checkNotNull(log.termAt(next - 1)) { "log has no entry at index ${next - 1}" },
    entries = entries,
    commitIndex = commitIndex,
    round = round,
)

internal fun StepScope.roundSent(): Long = leaderState?.roundSent ?: 0
