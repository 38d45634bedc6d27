package org.auburnlever.consensus

internal fun StepScope.onAppendAccepted(from: ReplicaId, answer: ReplicaMessage.AppendAccepted) {
    if (!recordAnswer(from, answer.term, answer.round)) return
    val base = state.log.baseIndex
    updatePeer(from) { it.accepted(answer.matchIndex, base) }
}

private fun PeerProgress.accepted(match: Long, base: Long): PeerProgress = when (mode) {
    ReplicationMode.REPLICATE -> copy(
        matchIndex = maxOf(matchIndex, match),
        nextIndex = maxOf(nextIndex, match + 1),
        inFlight = inFlight.removeAll { it <= match },
    )
    ReplicationMode.PROBE -> replicating(maxOf(matchIndex, match))
    ReplicationMode.SNAPSHOT -> if (endsTransfer(match, base)) replicating(maxOf(matchIndex, match)) else this
}

// If the log was compacted past the snapshot during its transfer, the peer still lacks entries and needs a newer one.
private fun PeerProgress.endsTransfer(match: Long, base: Long): Boolean =
    match >= base || match >= (transfer?.snapshot?.lastIndex ?: 0)

internal fun StepScope.onAppendRejected(from: ReplicaId, answer: ReplicaMessage.AppendRejected) {
    if (!recordAnswer(from, answer.term, answer.round)) return
    val progress = state.peers.getValue(from)
    val current = when (progress.mode) {
        ReplicationMode.REPLICATE -> answer.previousIndex > progress.matchIndex
        ReplicationMode.PROBE -> answer.previousIndex == progress.nextIndex - 1
        ReplicationMode.SNAPSHOT -> false
    }
    if (current) updatePeer(from) { it.probing(maxOf(state.log.retryIndex(answer), it.matchIndex + 1)) }
}

// Skips a whole term per answer: the next attempt begins after the leader's last entry of the conflicting term or, if
// it has none, at the peer's first one.
private fun ReplicaLog.retryIndex(answer: ReplicaMessage.AppendRejected): Long {
    val afterTerm = answer.conflictTerm?.let { lastOfTerm(it) }?.plus(1)
    return minOf(afterTerm ?: answer.conflictIndex, answer.previousIndex)
}

/** Records the time and read round of an answer; returns false if this replica is not leader of the answer's [term]. */
internal fun StepScope.recordAnswer(from: ReplicaId, term: Long, round: Long): Boolean {
    observeTerm(term)
    val leader = leaderState
    if (leader == null || term != state.term || from !in leader.peers) return false
    updatePeer(from) { it.copy(lastAnswerMillis = nowMillis, round = maxOf(it.round, round)) }
    return true
}
