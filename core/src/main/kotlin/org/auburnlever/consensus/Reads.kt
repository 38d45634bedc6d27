package org.auburnlever.consensus

/** Queues a read for the next read round, since only a round that begins after the read arrived can confirm it. */
internal fun StepScope.onRead(input: ReplicaInput.Read) {
    val leader = leaderState
    if (leader == null) {
        reject(input.readId, RejectionReason.NOT_LEADER)
    } else {
        val read = PendingRead(input.readId, leader.roundSent + 1)
        updateLeaderState { it.copy(reads = it.reads.add(read)) }
    }
}

/** Starts a round for the queued reads if none is open or a heartbeat is due; returns whether it did. */
internal fun StepScope.startReadRound(heartbeatDue: Boolean): Boolean {
    val leader = leaderState ?: return false
    val due = heartbeatDue || leader.roundSent == leader.roundConfirmed
    val starts = due && leader.reads.any { it.round > leader.roundSent }
    if (starts) updateLeaderState { it.copy(roundSent = it.roundSent + 1) }
    return starts
}

/** Confirms the reads whose round a majority has answered, once an entry of this term is committed. */
internal fun StepScope.confirmReads() {
    val leader = leaderState ?: return
    val confirmed = state.membership.reachedByQuorum { leader.roundOf(it, state.id) } ?: 0
    // Until the first entry of its term is committed, a leader does not know which earlier entries are committed.
    val servedRound = if (state.commitIndex >= leader.firstIndex) confirmed else 0
    leader.reads.filter { it.round <= servedRound }
        .forEach { emit(ReplicaEffect.ReadConfirmed(it.readId, state.commitIndex)) }
    updateLeaderState { current ->
        current.copy(
            roundConfirmed = maxOf(current.roundConfirmed, confirmed),
            reads = current.reads.removeAll { it.round <= servedRound },
        )
    }
}

private fun RaftRoleState.Leader.roundOf(replica: ReplicaId, self: ReplicaId): Long =
    if (replica == self) roundSent else peers[replica]?.round ?: 0
